/**
 * Reports of usage windows by the holder of the duty.
 *
 * @module
 */

import { type Clock, delay, SystemClock } from "rhubarbstage";
import type {
  AgreedUsage,
  ControlGroup,
  UsageAgreementResult,
  UsageAgreements,
  UsageCounts,
} from "@rhubarbstage/control";
import {
  closeCheckInterval,
  commandRetryDelay,
  commandTimeout,
  maxWindowsBehind,
  pollInterval,
  reportBackoff,
  reportTime,
} from "./constants.ts";
import type { DutyEvent } from "./duty_leader.ts";
import type { DutyContext, DutyTerm, PlatformCallResult } from "./types.ts";
import { UsageWindows } from "./usage_windows.ts";

/**
 * Monotonic time in milliseconds at which a configuration with customers came
 * into force; `none` if the one in force has none, `unknown` before the first.
 */
export type CustomersSince = number | "none" | "unknown";

/** Options of a {@linkcode UsageReporter}. */
export interface UsageReporterOptions extends Omit<DutyContext, "clock"> {
  readonly group: Pick<ControlGroup, "propose" | "query">;
  /** Length of a window in milliseconds. */
  readonly windowLength: number;
  readonly customersSince: () => CustomersSince;
  /** Time between two polls of the same host, in milliseconds. */
  readonly pollInterval?: () => number;
  /** Called when another process has taken the duty. */
  readonly onNotHolder?: (term: DutyTerm) => void;
  readonly onEvent?: DutyEvent;
  readonly onResult?: (result: PlatformCallResult) => void;
  readonly clock?: Clock;
  readonly pause?: typeof delay;
}

/** Where the holder is in the sequence of windows. */
interface Progress {
  /** Next window to close; undefined until true time is known. */
  next?: number;
  /** Last window of earlier holders; undefined before the first. */
  last: number | undefined;
}

/** Closes windows in order, agrees on their counts and reports them. */
export class UsageReporter {
  readonly #options: UsageReporterOptions;
  readonly #clock: Clock;
  readonly #windows: UsageWindows;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
    this.#windows = new UsageWindows(options);
  }

  /** Reports in every term of the duty until the signal is aborted. */
  start(): void {
    const { holder, polls, signal } = this.#options;
    polls.onOutcome((outcome) => this.#windows.observe(outcome), { signal });
    holder.whenHeld("usage_report", (term) => this.#report(term), { signal });
  }

  /** Requests that arrived after their window was agreed. */
  get lateRequests(): number {
    return this.#windows.lateRequests;
  }

  async #report(term: DutyTerm): Promise<void> {
    const agreements = await this.#readAgreements(term);
    if (agreements === undefined) return;
    for (const usage of agreements.open) void this.#deliver(usage, term);
    const progress: Progress = { last: agreements.last };
    while (!term.signal.aborted) {
      await this.#closeNext(progress, term);
      await this.#pause(closeCheckInterval, term);
    }
  }

  async #readAgreements(term: DutyTerm): Promise<UsageAgreements | undefined> {
    const { group } = this.#options;
    const { signal } = term;
    while (!signal.aborted) {
      try {
        return await group.query<UsageAgreements>("usage", {}, {
          signal,
          timeout: commandTimeout,
        });
      } catch {
        await this.#pause(commandRetryDelay, term);
      }
    }
    return undefined;
  }

  /** Closes and agrees on the next window if it is complete. */
  async #closeNext(progress: Progress, term: DutyTerm): Promise<void> {
    const { polls, customersSince } = this.#options;
    const interval = this.#options.pollInterval?.() ?? pollInterval;
    const now = this.#clock.monotonicMilliseconds();
    const hosts = polls.hosts();
    this.#windows.prune(now, hosts);
    const since = customersSince();
    if (since === "unknown") return;
    if (since === "none") {
      // Windows without customers are left out.
      progress.next = undefined;
      progress.last = undefined;
      return;
    }
    if (!this.#windows.hasTrueTime(now, hosts)) return;
    this.#windows.settle(now - interval - pollInterval);
    progress.next ??= await this.#firstWindow(
      Math.max(since, term.takenAt),
      progress,
      term,
    );
    const { next } = progress;
    if (next === undefined) return;
    if (!this.#windows.isComplete(next, { now, hosts, interval })) return;
    const counts = this.#windows.close(next);
    const result = await this.#agree(term, { window: next, counts });
    if (result === undefined) return;
    if (result.type === "not_holder") return this.#options.onNotHolder?.(term);
    this.#windows.markAgreed(next);
    progress.next = result.type === "left_out" ? result.last + 1 : next + 1;
    if (result.type === "agreed") void this.#deliver(result.usage, term);
  }

  /**
   * Returns the first window to close. Without a known earlier one it is the
   * first that begins after a monotonic time; the group leaves out all earlier
   * ones, so that a later holder knows where the reports begin.
   */
  async #firstWindow(
    from: number,
    { last }: Progress,
    term: DutyTerm,
  ): Promise<number | undefined> {
    const now = this.#clock.monotonicMilliseconds();
    const [trueFrom, trueNow] = [from, now].map((time) =>
      this.#windows.trueTimeAt(time)
    );
    if (trueFrom === undefined || trueNow === undefined) return undefined;
    const oldest = this.#windows.windowAt(trueNow) - maxWindowsBehind;
    if (last !== undefined) return Math.max(last + 1, oldest);
    const first = this.#windows.windowAt(trueFrom) + 1;
    const result = await this.#agree(term, { window: first - 1 });
    if (result?.type === "not_holder") this.#options.onNotHolder?.(term);
    return result?.type === "left_out" ? result.last + 1 : undefined;
  }

  /** Returns the agreed counts; undefined when the term has ended. */
  async #agree(
    term: DutyTerm,
    agreement: { readonly window: number; readonly counts?: UsageCounts },
  ): Promise<UsageAgreementResult | undefined> {
    const { group, onEvent = () => {} } = this.#options;
    const { duty, fence, signal } = term;
    while (!signal.aborted) {
      try {
        const answer = await group.propose(
          { type: "agree_usage", duty, fence, ...agreement },
          { signal, timeout: commandTimeout },
        );
        if (answer?.type !== "agree_usage") throw new Error("no_result");
        return answer.result;
      } catch (thrown) {
        if (signal.aborted) return undefined;
        onEvent("usage_not_agreed", {
          window: agreement.window,
          cause: String(thrown),
        });
        await this.#pause(commandRetryDelay, term);
      }
    }
    return undefined;
  }

  /** Sends the agreed counts, with exact repeats until they are accepted. */
  async #deliver(usage: AgreedUsage, term: DutyTerm): Promise<void> {
    const { calls, onEvent = () => {}, onResult } = this.#options;
    const { window } = usage;
    const counts = new Map(usage.counts);
    let backoff: number = reportBackoff.first;
    for (let attempt = 1; !term.signal.aborted; attempt += 1) {
      const result = await calls.reportUsage({ window, counts }, term);
      onResult?.(result);
      const { type } = result;
      const age = Math.round(this.#ageOf(window));
      onEvent("usage_reported", { window, result: type, attempt, age });
      if (result.type === "accepted") return this.#recordAccepted(window, term);
      if (age > reportTime) return;
      const { retryDelay = 0 } = result.type === "throttled" ? result : {};
      await this.#pause(Math.max(backoff, retryDelay), term);
      backoff = Math.min(2 * backoff, reportBackoff.max);
    }
  }

  async #recordAccepted(window: number, term: DutyTerm): Promise<void> {
    const { group, onEvent = () => {} } = this.#options;
    const { signal } = term;
    while (!signal.aborted && this.#ageOf(window) < reportTime) {
      try {
        const command = { type: "usage_accepted", window } as const;
        await group.propose(command, { signal, timeout: commandTimeout });
        return;
      } catch (thrown) {
        if (signal.aborted) return;
        onEvent("usage_not_recorded", { window, cause: String(thrown) });
        await this.#pause(commandRetryDelay, term);
      }
    }
  }

  /** Returns the time since the end of a window, in milliseconds. */
  #ageOf(window: number): number {
    const now = this.#windows.trueTimeAt(this.#clock.monotonicMilliseconds()) ??
      this.#clock.wallMilliseconds();
    return now - this.#windows.endOf(window);
  }

  async #pause(milliseconds: number, { signal }: DutyTerm): Promise<void> {
    const { pause = delay } = this.#options;
    await pause(milliseconds, { signal }).catch(() => {});
  }
}
