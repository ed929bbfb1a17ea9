/**
 * Terms of duties on a host that may lead the control group.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import {
  type Clock,
  delay,
  type FencingNumber,
  SystemClock,
} from "rhubarbstage";
import type {
  ControlGroup,
  DutyRecord,
  HostProcess,
} from "@rhubarbstage/control";
import {
  commandRetryDelay,
  commandTimeout,
  defaultLeaseTime,
  proofInterval,
  proofTimeout,
} from "./constants.ts";
import { DutyLease, LeaseClock, type TimeReading } from "./lease.ts";
import { type Duty, DutyHolder, DutyTerm, type DutyWork } from "./types.ts";

/** Seat in the control group, as far as duties need it. */
export interface LeaderSeat {
  leadership(): { readonly term: number; readonly isLeader: boolean };
  confirmLeadership(
    options: { readonly signal: AbortSignal; readonly timeout: number },
  ): Promise<number>;
  onLeadership(
    listener: (
      leadership: { readonly term: number; readonly isLeader: boolean },
    ) => void,
    options: { readonly signal: AbortSignal },
  ): void;
}

/** Event of a duty, with fields for the log. */
export type DutyEvent = (
  event: string,
  fields: Readonly<Record<string, string | number>>,
) => void;

/** Options of a {@linkcode DutyLeader}. */
export interface DutyLeaderOptions {
  readonly seat: LeaderSeat;
  readonly group: Pick<ControlGroup, "propose">;
  readonly process: HostProcess;
  readonly duties: readonly Duty[];
  readonly signal: AbortSignal;
  readonly clock?: Clock;
  /** See `LeaseClockOptions`. */
  readonly bootMilliseconds?: () => number;
  /** Time before the first call of a term, in milliseconds. */
  readonly leaseTime?: number;
  readonly onEvent?: DutyEvent;
  /** Waits some milliseconds; replaced in tests. */
  readonly pause?: typeof delay;
}

/** Leadership of the control group in one term of its log. */
interface LeadershipTerm {
  readonly term: number;
  readonly controller: AbortController;
  readonly leases: Set<DutyLease>;
}

/**
 * Takes all duties whenever this host leads the control group. Each term of the
 * log and each loss of a duty leads to a new fencing token.
 */
export class DutyLeader extends DutyHolder {
  readonly #options: DutyLeaderOptions;
  readonly #clock: LeaseClock;
  readonly #works = new Map<Duty, Set<DutyWork>>();
  readonly #terms = new Map<Duty, LeasedTerm>();
  #current: LeadershipTerm | undefined;
  #takeCount = 0;

  constructor(options: DutyLeaderOptions) {
    super();
    this.#options = options;
    this.#clock = new LeaseClock({
      clock: options.clock ?? new SystemClock(),
      ...(options.bootMilliseconds === undefined
        ? {}
        : { bootMilliseconds: options.bootMilliseconds }),
    });
  }

  /** Follows the leadership until the signal is aborted. */
  start(): void {
    const { seat, signal } = this.#options;
    seat.onLeadership((leadership) => this.#update(leadership), { signal });
    signal.addEventListener("abort", () => this.#endLeadership("stopped"), {
      once: true,
    });
    this.#update(seat.leadership());
  }

  /** Whether this host leads the control group as far as it knows. */
  get isLeading(): boolean {
    return this.#current !== undefined;
  }

  /** Age of the last proof of a held duty, in milliseconds. */
  leaseAge(duty: Duty): number | undefined {
    return this.#terms.get(duty)?.lease.age;
  }

  override whenHeld(
    duty: Duty,
    work: DutyWork,
    { signal }: { readonly signal: AbortSignal },
  ): void {
    const works = this.#works.get(duty) ?? new Set();
    this.#works.set(duty, works.add(work));
    signal.addEventListener("abort", () => works.delete(work), { once: true });
    const term = this.#terms.get(duty);
    if (term?.lease.hasWaited) this.#run(work, term);
  }

  /** Ends a term whose duty another process has taken, and takes it again. */
  giveUp(term: DutyTerm): void {
    const held = this.#terms.get(term.duty);
    if (held === term) held.end("taken_by_other");
  }

  #update(leadership: { term: number; isLeader: boolean }): void {
    const { term, isLeader } = leadership;
    if (isLeader && this.#current?.term === term) return;
    this.#endLeadership("leadership_lost");
    if (!isLeader || this.#options.signal.aborted) return;
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    const current = { term, controller, leases: new Set<DutyLease>() };
    this.#current = current;
    void this.#proveRepeatedly(current);
    for (const duty of this.#options.duties) void this.#hold(duty, current);
  }

  #endLeadership(reason: string): void {
    if (this.#current === undefined) return;
    const { controller } = this.#current;
    this.#current = undefined;
    controller.abort(new Error(reason));
    for (const term of this.#terms.values()) term.end(reason);
  }

  /** Renews all leases while a majority confirms the leadership. */
  async #proveRepeatedly(current: LeadershipTerm): Promise<void> {
    const { seat, pause = delay } = this.#options;
    const { signal } = current.controller;
    while (!signal.aborted) {
      const startedAt = this.#clock.read();
      const term = await seat.confirmLeadership({
        signal,
        timeout: proofTimeout,
      }).catch(() => undefined);
      if (signal.aborted) return;
      if (term !== undefined && term !== current.term) {
        if (this.#current === current) this.#endLeadership("other_term");
        return;
      }
      if (term !== undefined) {
        for (const lease of current.leases) lease.renew(startedAt);
      }
      const spent = this.#clock.shortestSince(startedAt);
      await pause(Math.max(1, proofInterval - spent), { signal })
        .catch(() => {});
    }
  }

  /** Takes a duty again and again while the leadership lasts. */
  async #hold(duty: Duty, current: LeadershipTerm): Promise<void> {
    const { signal } = current.controller;
    while (!signal.aborted) {
      const taken = await this.#take(duty, current);
      if (taken === undefined || signal.aborted) return;
      await this.#serve(duty, { current, ...taken });
    }
  }

  async #serve(
    duty: Duty,
    taken: {
      readonly current: LeadershipTerm;
      readonly record: DutyRecord;
      readonly takenAt: TimeReading;
    },
  ): Promise<void> {
    const { leaseTime = defaultLeaseTime, pause = delay } = this.#options;
    const { current, record, takenAt } = taken;
    const { fence } = record;
    const lease = new DutyLease({
      clock: this.#clock,
      fence,
      takenAt,
      leaseTime,
    });
    const term = new LeasedTerm({ duty, fence, lease, takenAt });
    current.leases.add(lease);
    this.#terms.set(duty, term);
    const { onEvent = () => {} } = this.#options;
    onEvent("duty_taken", { duty, fence });
    const { signal } = term;
    while (!lease.hasWaited && !signal.aborted) {
      const left = leaseTime - this.#clock.shortestSince(takenAt);
      await pause(Math.max(1, left), { signal }).catch(() => {});
    }
    if (!signal.aborted) {
      onEvent("duty_held", { duty, fence });
      for (const work of this.#works.get(duty) ?? []) this.#run(work, term);
      await new Promise((resolve) =>
        signal.addEventListener("abort", resolve, { once: true })
      );
    }
    current.leases.delete(lease);
    if (this.#terms.get(duty) === term) this.#terms.delete(duty);
    const reason = signal.reason instanceof Error ? signal.reason.message : "";
    onEvent("duty_lost", { duty, fence, reason });
  }

  /** Returns the record of the duty, or undefined when leadership has ended. */
  async #take(
    duty: Duty,
    { term, controller }: LeadershipTerm,
  ): Promise<{ record: DutyRecord; takenAt: TimeReading } | undefined> {
    const { group, seat, process, pause = delay } = this.#options;
    const { onEvent = () => {} } = this.#options;
    const confirm = async () => {
      const timeout = proofTimeout;
      const confirmed = await seat.confirmLeadership({ signal, timeout });
      if (confirmed !== term) throw new Error(`term ${confirmed}`);
    };
    const { signal } = controller;
    this.#takeCount += 1;
    const takeId = `${process.host}/${process.incarnation}/${this.#takeCount}`;
    while (!signal.aborted) {
      try {
        // The group forwards proposals. An earlier leader that does not know of
        // the next one must not take the duty from it again and again.
        await confirm();
        const result = await group.propose(
          { type: "take_duty", duty, holder: process, takeId },
          { signal, timeout: commandTimeout },
        );
        // A leader of an older build commits the command without a result.
        if (result?.type !== "take_duty") throw new Error("no_result");
        const takenAt = this.#clock.read();
        // The command may have been committed in a later leader's term. Then
        // others may have acted since, and its token must not be used.
        await confirm();
        return { record: result.record, takenAt };
      } catch (thrown) {
        if (signal.aborted) return undefined;
        onEvent("duty_not_taken", { duty, cause: String(thrown) });
      }
      await pause(commandRetryDelay, { signal }).catch(() => {});
    }
    return undefined;
  }

  #run(work: DutyWork, term: DutyTerm): void {
    const { onEvent = () => {} } = this.#options;
    const report = (thrown: unknown) => {
      if (term.signal.aborted) return;
      onEvent("duty_work_failed", { duty: term.duty, cause: String(thrown) });
    };
    try {
      Promise.resolve(work(term)).catch(report);
    } catch (thrown) {
      report(thrown);
    }
  }
}

/** A term under a lease. */
class LeasedTerm extends DutyTerm {
  override readonly duty: Duty;
  override readonly fence: FencingNumber;
  override readonly takenAt: number;
  readonly lease: DutyLease;
  readonly #controller = new AbortController();

  constructor(options: {
    readonly duty: Duty;
    readonly fence: FencingNumber;
    readonly lease: DutyLease;
    readonly takenAt: TimeReading;
  }) {
    super();
    setMaxListeners(0, this.#controller.signal);
    this.duty = options.duty;
    this.fence = options.fence;
    this.lease = options.lease;
    this.takenAt = options.takenAt.monotonic;
  }

  override get signal(): AbortSignal {
    return this.#controller.signal;
  }

  override mayAct(): boolean {
    return this.lease.permit() !== undefined;
  }

  end(reason: string): void {
    this.lease.end();
    this.#controller.abort(new Error(reason));
  }
}
