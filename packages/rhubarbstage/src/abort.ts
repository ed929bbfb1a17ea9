/**
 * Timers that end when an abort signal is aborted.
 *
 * @module
 */

/**
 * Resolves after a delay in milliseconds. Rejects with the signal's reason when
 * it is aborted first.
 */
export function delay(
  milliseconds: number,
  options: { signal?: AbortSignal } = {},
): Promise<void> {
  const { signal } = options;
  return new Promise((resolve, reject) => {
    if (signal?.aborted) {
      reject(signal.reason);
      return;
    }
    const onAbort = () => {
      clearTimeout(timer);
      reject(signal?.reason);
    };
    const timer = setTimeout(() => {
      signal?.removeEventListener("abort", onAbort);
      resolve();
    }, milliseconds);
    signal?.addEventListener("abort", onAbort, { once: true });
  });
}

/** Calls `run` every `milliseconds` until the signal is aborted. */
export function every(
  milliseconds: number,
  run: () => void,
  options: { signal: AbortSignal },
): void {
  if (options.signal.aborted) return;
  const timer = setInterval(run, milliseconds);
  options.signal.addEventListener("abort", () => clearInterval(timer), {
    once: true,
  });
}
