/**
 * Machines in virtual time that freeze, are suspended and have stepping clocks.
 *
 * @module
 */

import { Clock } from "rhubarbstage";

interface ScheduledCall {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Time that advances only from one scheduled call to the next. */
export class VirtualTime {
  now = 0;
  #calls: ScheduledCall[] = [];
  #order = 0;

  schedule(delay: number, run: () => void): void {
    this.#order += 1;
    const call = { at: this.now + Math.max(0, delay), order: this.#order, run };
    const later = (other: ScheduledCall) =>
      other.at > call.at || (other.at === call.at && other.order > call.order);
    const place = this.#calls.findIndex(later);
    this.#calls.splice(place < 0 ? this.#calls.length : place, 0, call);
  }

  async run(duration: number): Promise<void> {
    const end = this.now + duration;
    await settlePromises();
    while ((this.#calls[0]?.at ?? Infinity) <= end) {
      const call = this.#calls.shift() as ScheduledCall;
      this.now = call.at;
      call.run();
      await settlePromises();
    }
    this.now = end;
  }
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** One machine; its calls wait while it is frozen or suspended. */
export class VirtualMachine {
  readonly time: VirtualTime;
  readonly clock: Clock;
  #stoppedUntil = 0;
  #wallStep = 0;
  /** Time for which the monotonic clock stood still. */
  #suspended = 0;
  #suspension: { readonly from: number; readonly to: number } | undefined;

  constructor(time: VirtualTime) {
    this.time = time;
    this.clock = new MachineClock(this);
  }

  /** Stops the process; all clocks go on. */
  freeze(duration: number): void {
    this.#stoppedUntil = Math.max(this.#stoppedUntil, this.time.now + duration);
  }

  /** Stops the machine and its monotonic clock. */
  suspend(duration: number): void {
    const from = this.time.now;
    if (from < this.#stoppedUntil) return this.freeze(duration);
    this.#suspended = this.suspendedTime();
    this.#suspension = { from, to: from + duration };
    this.freeze(duration);
  }

  stepWall(change: number): void {
    this.#wallStep += change;
  }

  get isStopped(): boolean {
    return this.time.now < this.#stoppedUntil;
  }

  get wallStep(): number {
    return this.#wallStep;
  }

  suspendedTime(): number {
    if (this.#suspension === undefined) return this.#suspended;
    const { from, to } = this.#suspension;
    return this.#suspended + Math.min(this.time.now, to) - from;
  }

  /** Runs a call after a delay, or when the machine runs again. */
  schedule(delay: number, run: () => void): void {
    this.time.schedule(delay, () => {
      if (this.isStopped) {
        this.schedule(this.#stoppedUntil - this.time.now, run);
      } else run();
    });
  }

  readonly pause = (
    milliseconds: number,
    { signal }: { signal?: AbortSignal } = {},
  ): Promise<void> =>
    new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(signal.reason);
      const onAbort = () => reject(signal?.reason);
      signal?.addEventListener("abort", onAbort, { once: true });
      this.schedule(milliseconds, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
    });
}

class MachineClock extends Clock {
  readonly #machine: VirtualMachine;

  constructor(machine: VirtualMachine) {
    super();
    this.#machine = machine;
  }

  override monotonicMilliseconds(): number {
    return this.#machine.time.now - this.#machine.suspendedTime();
  }

  override wallMilliseconds(): number {
    return 1_700_000_000_000 + this.#machine.time.now + this.#machine.wallStep;
  }
}
