/**
 * Tracks callers' requests that are waiting or running on this host.
 *
 * @module
 */

import type { RequestId } from "rhubarbstage";

/** Tracks open requests so that a shutdown can wait for them. */
export class OpenRequestTracker {
  #open = new Set<RequestId>();
  #listeners: (() => void)[] = [];

  /** Ids of the open requests. */
  get open(): readonly RequestId[] {
    return [...this.#open];
  }

  add(request: RequestId): void {
    this.#open.add(request);
  }

  remove(request: RequestId): void {
    this.#open.delete(request);
    if (this.#open.size > 0) return;
    const listeners = this.#listeners;
    this.#listeners = [];
    for (const listener of listeners) listener();
  }

  /** Resolves when no request is open. */
  async waitUntilIdle(): Promise<void> {
    if (this.#open.size === 0) return;
    await new Promise<void>((resolve) => this.#listeners.push(resolve));
  }
}
