/**
 * Event listeners that are removed by an abort signal.
 *
 * @module
 */

/** A set of callbacks for one kind of event. */
export class Listeners<Event> {
  readonly #listeners = new Set<(event: Event) => void>();

  /** Adds a callback and removes it when the signal is aborted. */
  add(
    listener: (event: Event) => void,
    options: { signal?: AbortSignal } = {},
  ): void {
    const { signal } = options;
    if (signal?.aborted) return;
    this.#listeners.add(listener);
    signal?.addEventListener("abort", () => this.#listeners.delete(listener), {
      once: true,
    });
  }

  /** Calls every callback, also after one of them threw. */
  emit(event: Event): void {
    for (const listener of [...this.#listeners]) {
      try {
        listener(event);
      } catch (thrown) {
        // Rethrown as an uncaught error, because the emitter cannot handle it.
        queueMicrotask(() => {
          throw thrown;
        });
      }
    }
  }
}
