/**
 * What servers say of themselves in their answers: that they leave, or that they
 * want no request from this host for some time.
 *
 * @module
 */

import type { BackendServerId, Incarnation } from "rhubarbstage";
import type { BackendServer, ServerNotice } from "./types.ts";

interface KnownNotice {
  readonly incarnation: Incarnation;
  readonly isLeaving: boolean;
  /** Monotonic time, in milliseconds. */
  readonly pausedUntil: number;
}

/**
 * Notices by server. That a server leaves holds until its process ends; a pause
 * ends by itself.
 */
export class ServerNotices {
  readonly #notices = new Map<BackendServerId, KnownNotice>();
  #maxPause: number;

  /** @param maxPause Longest pause that a server gets, in milliseconds. */
  constructor(maxPause: number) {
    this.#maxPause = maxPause;
  }

  configure(maxPause: number): void {
    this.#maxPause = maxPause;
  }

  /** Records a notice; of two pauses, the one that ends later counts. */
  observe(server: BackendServer, notice: ServerNotice, now: number): void {
    const known = this.#find(server);
    const pause = Math.min(notice.pause ?? 0, this.#maxPause);
    this.#notices.set(server.id, {
      incarnation: server.incarnation,
      isLeaving: notice.isLeaving || (known?.isLeaving ?? false),
      pausedUntil: Math.max(now + pause, known?.pausedUntil ?? 0),
    });
  }

  /** Whether a server takes requests from this host. */
  allows(server: BackendServer, now: number): boolean {
    return this.waitTime(server, now) === 0;
  }

  /**
   * Returns the time until a server takes requests from this host, in
   * milliseconds; infinity if it leaves.
   */
  waitTime(server: BackendServer, now: number): number {
    const known = this.#find(server);
    if (known === undefined) return 0;
    return known.isLeaving ? Infinity : Math.max(0, known.pausedUntil - now);
  }

  /** Whether a server has said that it leaves. */
  isLeaving(server: BackendServer): boolean {
    return this.#find(server)?.isLeaving ?? false;
  }

  /** Lists the servers that take no requests from this host. */
  unusableServers(now: number): BackendServerId[] {
    return [...this.#notices]
      .filter(([, { isLeaving, pausedUntil }]) =>
        isLeaving || pausedUntil > now
      )
      .map(([server]) => server);
  }

  get isEmpty(): boolean {
    return this.#notices.size === 0;
  }

  /** Forgets a process that has ended. */
  forget(server: BackendServerId): void {
    this.#notices.delete(server);
  }

  #find({ id, incarnation }: BackendServer): KnownNotice | undefined {
    const known = this.#notices.get(id);
    return known?.incarnation === incarnation ? known : undefined;
  }
}
