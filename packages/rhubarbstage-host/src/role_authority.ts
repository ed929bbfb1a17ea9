/**
 * Authority of a host to order role changes of engines.
 *
 * @module
 */

import { delay } from "rhubarbstage";

/** Options of a {@linkcode RoleAuthority}. */
export interface RoleAuthorityOptions {
  /**
   * Time during which a new leader sends no orders, in milliseconds, so that
   * no order of an earlier leader is still in flight.
   */
  readonly activationDelay: number;
  /** Called with false when leadership ends, even if authority never began. */
  readonly onChange: (held: boolean) => void;
  readonly signal: AbortSignal;
}

/**
 * Grants authority over roles from the end of the activation delay until the
 * leadership ends.
 */
export class RoleAuthority {
  readonly #options: RoleAuthorityOptions;
  #leadership: AbortController | undefined;

  constructor(options: RoleAuthorityOptions) {
    this.#options = options;
  }

  /** Handles a change of leadership. */
  updateLeadership(isLeader: boolean): void {
    if (isLeader === (this.#leadership !== undefined)) return;
    if (isLeader) {
      this.#leadership = new AbortController();
      void this.#activate(this.#leadership.signal);
      return;
    }
    this.#leadership?.abort();
    this.#leadership = undefined;
    this.#options.onChange(false);
  }

  async #activate(leadershipSignal: AbortSignal): Promise<void> {
    const { activationDelay, onChange } = this.#options;
    const signal = AbortSignal.any([leadershipSignal, this.#options.signal]);
    // The wait is aborted when the leadership ends or the host stops.
    await delay(activationDelay, { signal }).catch(() => {});
    if (!signal.aborted) onChange(true);
  }
}
