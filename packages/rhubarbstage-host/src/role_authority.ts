/**
 * When a host may order engines to change their roles.
 *
 * @module
 */

import { delay } from "rhubarbstage";

/** Options of a {@linkcode RoleAuthority}. */
export interface RoleAuthorityOptions {
  /**
   * Time for which a new leader gives no order, in milliseconds, so that
   * nothing that an earlier leader has sent is still on its way.
   */
  readonly activationDelay: number;
  /** Called when the authority begins or ends. */
  readonly onChange: (held: boolean) => void;
  readonly signal: AbortSignal;
}

/** Holds the authority over roles while this host leads for long enough. */
export class RoleAuthority {
  readonly #options: RoleAuthorityOptions;
  #term: AbortController | undefined;

  constructor(options: RoleAuthorityOptions) {
    this.#options = options;
  }

  /** Takes a change of leadership. */
  updateLeadership(isLeader: boolean): void {
    if (isLeader === (this.#term !== undefined)) return;
    if (isLeader) {
      this.#term = new AbortController();
      void this.#settle(this.#term.signal);
      return;
    }
    this.#term?.abort();
    this.#term = undefined;
    this.#options.onChange(false);
  }

  async #settle(term: AbortSignal): Promise<void> {
    const { activationDelay: settleTime, onChange } = this.#options;
    const signal = AbortSignal.any([term, this.#options.signal]);
    // An aborted wait means that the leadership has ended.
    await delay(settleTime, { signal }).catch(() => {});
    if (!signal.aborted) onChange(true);
  }
}
