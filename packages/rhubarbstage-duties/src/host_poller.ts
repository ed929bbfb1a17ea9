/**
 * Polls of all entry hosts over the peer transport.
 *
 * @module
 */

import {
  type Clock,
  delay,
  type HostId,
  type Incarnation,
  SystemClock,
} from "rhubarbstage";
import { requestType, type Transport } from "@rhubarbstage/transport";
import { maxPollsPerSecond, pollInterval, pollTimeout } from "./constants.ts";
import {
  type HostPoll,
  type HostPollAnswer,
  type HostPollOutcome,
  HostPolls,
  type PolledHost,
} from "./types.ts";

const pollRequest = requestType<HostPoll, HostPollAnswer>("duty_poll");

/** Answers the polls of the holder; every entry host does. */
export function answerPolls(
  transport: Transport,
  answer: (poll: HostPoll) => HostPollAnswer,
): void {
  transport.onRequest(pollRequest, (poll) => answer(poll));
}

/** Options of a {@linkcode HostPoller}. */
export interface HostPollerOptions {
  readonly transport: Transport;
  /** Live entry hosts, this one included if it is one. */
  readonly hosts: () => readonly PolledHost[];
  /** Answers a poll of this host. */
  readonly answerLocally: (poll: HostPoll) => HostPollAnswer;
  /** Whether this host holds a duty or is about to. */
  readonly isNeeded: () => boolean;
  readonly signal: AbortSignal;
  readonly clock?: Clock;
  readonly pause?: typeof delay;
}

interface Cursor {
  readonly incarnation: Incarnation;
  readonly after: number;
}

type Listener = (outcome: HostPollOutcome) => void;

/** Polls the entry hosts in turn, at an even rate, while it is needed. */
export class HostPoller extends HostPolls {
  readonly #options: HostPollerOptions;
  readonly #clock: Clock;
  readonly #listeners = new Set<Listener>();
  readonly #cursors = new Map<HostId, Cursor>();
  readonly #open = new Set<HostId>();

  constructor(options: HostPollerOptions) {
    super();
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Time between two polls of the same host, in milliseconds. */
  get interval(): number {
    const count = this.hosts().length;
    return Math.max(pollInterval, count * 1_000 / maxPollsPerSecond);
  }

  override hosts(): readonly PolledHost[] {
    return this.#options.hosts();
  }

  override onOutcome(
    listener: Listener,
    { signal }: { readonly signal: AbortSignal },
  ): void {
    this.#listeners.add(listener);
    signal.addEventListener("abort", () => this.#listeners.delete(listener), {
      once: true,
    });
  }

  /** Starts to poll until the signal is aborted. */
  start(): void {
    void this.#pollRepeatedly();
  }

  async #pollRepeatedly(): Promise<void> {
    const { signal, isNeeded, pause = delay } = this.#options;
    while (!signal.aborted) {
      const hosts = isNeeded() ? this.hosts() : [];
      // After a pause, hosts are asked for all that they keep: the buckets may
      // have been collected by another holder.
      if (hosts.length === 0) this.#cursors.clear();
      const spacing = this.interval / Math.max(1, hosts.length);
      for (const host of hosts) {
        if (signal.aborted || !isNeeded()) break;
        if (!this.#open.has(host.host)) void this.#poll(host);
        await pause(spacing, { signal }).catch(() => {});
      }
      if (hosts.length === 0) {
        await pause(pollInterval / 10, { signal }).catch(() => {});
      }
    }
  }

  async #poll(polled: PolledHost): Promise<void> {
    const { host } = polled;
    this.#open.add(host);
    const sentAt = this.#clock.monotonicMilliseconds();
    const answer = await this.#request(host).catch(() => undefined);
    const endedAt = this.#clock.monotonicMilliseconds();
    this.#open.delete(host);
    if (this.#options.signal.aborted) return;
    if (answer !== undefined) {
      const { incarnation, last } = answer;
      this.#cursors.set(host, { incarnation, after: last });
    }
    const outcome: HostPollOutcome = {
      ...polled,
      sentAt,
      endedAt,
      ...(answer === undefined ? {} : { answer }),
    };
    for (const listener of this.#listeners) listener(outcome);
  }

  async #request(host: HostId): Promise<HostPollAnswer> {
    const { transport, answerLocally, signal } = this.#options;
    const poll: HostPoll = { ...this.#cursors.get(host) };
    if (host === transport.host) return answerLocally(poll);
    return await transport.request(pollRequest, {
      to: host,
      body: poll,
      timeout: pollTimeout,
      signal,
    });
  }
}
