/**
 * Control group, platform and holders in virtual time.
 *
 * @module
 */

import {
  type ControlCommand,
  controlQueries,
  type ControlResult,
  ControlStateMachine,
} from "@rhubarbstage/control";
import {
  type CustomerId,
  type FencingNumber,
  type HostId,
  type Incarnation,
  type Region,
  RhubarbstageError,
} from "rhubarbstage";
import {
  DutyLeader,
  type DutyTerm,
  type HostPollOutcome,
  HostPolls,
  type PlatformCallResult,
  PlatformCalls,
  type PolledHost,
  type ServerOrder,
  type UsageReport,
} from "../../src/mod.ts";
import { UsageRecorder } from "../../src/usage_recorder.ts";
import { UsageReporter } from "../../src/usage_reporter.ts";
import { VirtualMachine, type VirtualTime } from "./virtual_time.ts";

/** A call as the platform received it. */
export interface ReceivedCall {
  readonly at: number;
  readonly machine: string;
  readonly fence: FencingNumber;
  readonly window: number;
  readonly counts: string;
  /** Whether the sender was told that the call was accepted. */
  readonly accepted: boolean;
}

type Leadership = { readonly term: number; readonly isLeader: boolean };

/** One log with one leader at a time. */
export class VirtualGroup {
  readonly machine = new ControlStateMachine();
  readonly state = this.machine.initial();
  readonly time: VirtualTime;
  /** One-way latency in milliseconds; drawn for each message. */
  latency: () => number = () => 20;
  /** Whether the answer to a committed command is lost. */
  losesAnswer: () => boolean = () => false;
  term = 0;
  leader: VirtualHost | undefined;
  hasQuorum = true;
  #index = 0;

  constructor(time: VirtualTime) {
    this.time = time;
  }

  /** Elects a host; hosts learn of it after `notice` milliseconds. */
  elect(leader: VirtualHost | undefined, notice = 0): void {
    const previous = this.leader;
    this.term += 1;
    this.leader = leader;
    const { term } = this;
    if (previous !== undefined && previous !== leader) {
      previous.machine.schedule(notice, () => previous.learn(term, false));
    }
    leader?.machine.schedule(0, () => leader.learn(term, true));
  }

  propose(
    from: VirtualHost,
    command: ControlCommand,
  ): Promise<ControlResult> {
    return this.#call(from, () => {
      if (!this.#canServe) return fail();
      this.#index += 1;
      const result = this.machine.apply(this.state, command, this.#index);
      return this.losesAnswer() ? fail() : structuredClone(result);
    });
  }

  query(from: VirtualHost): Promise<unknown> {
    return this.#call(from, () => {
      if (!this.#canServe) return fail();
      return structuredClone(controlQueries.usage(this.state));
    });
  }

  confirm(from: VirtualHost): Promise<number> {
    return this.#call(from, () => {
      if (!this.#canServe || this.leader !== from) return fail();
      return this.term;
    });
  }

  get #canServe(): boolean {
    return this.hasQuorum && this.leader !== undefined;
  }

  /** Runs a call at the group, and returns its answer after two latencies. */
  #call<Answer>(from: VirtualHost, run: () => Answer): Promise<Answer> {
    return new Promise((resolve, reject) =>
      this.time.schedule(this.latency(), () => {
        let settle: () => void;
        try {
          const answer = run();
          settle = () => resolve(answer);
        } catch (thrown) {
          settle = () => reject(thrown as Error);
        }
        from.machine.schedule(this.latency(), settle);
      })
    );
  }
}

function fail(): never {
  throw new RhubarbstageError("no_quorum");
}

/** Options of a {@linkcode VirtualHost}. */
export interface VirtualHostOptions {
  readonly name: string;
  readonly group: VirtualGroup;
  readonly received: ReceivedCall[];
  readonly entryHosts: readonly VirtualEntryHost[];
  readonly customersSince?: () => number | "none" | "unknown";
}

/** A control host that reports usage while it leads. */
export class VirtualHost {
  readonly name: string;
  readonly machine: VirtualMachine;
  readonly group: VirtualGroup;
  readonly calls: VirtualCalls;
  readonly events: [string, Readonly<Record<string, string | number>>][] = [];
  readonly #options: VirtualHostOptions;
  #leadership: Leadership = { term: 0, isLeader: false };
  #listener: ((leadership: Leadership) => void) | undefined;
  #process = new AbortController();
  #incarnation = 0;

  constructor(options: VirtualHostOptions) {
    this.#options = options;
    this.name = options.name;
    this.group = options.group;
    this.machine = new VirtualMachine(options.group.time);
    this.calls = new VirtualCalls(this, options.received);
    this.#start();
  }

  learn(term: number, isLeader: boolean): void {
    if (term < this.#leadership.term) return;
    this.#leadership = { term, isLeader };
    this.#listener?.(this.#leadership);
  }

  /** Ends the process and starts another, which is not the leader. */
  restart(): void {
    if (this.group.leader === this) this.group.elect(undefined);
    this.#process.abort(new Error("killed"));
    this.#leadership = { term: this.group.term, isLeader: false };
    this.#start();
  }

  #start(): void {
    this.#process = new AbortController();
    this.#incarnation += 1;
    const { signal } = this.#process;
    const { group, machine } = this;
    const { clock, pause } = machine;
    const onEvent = (event: string, fields: Record<string, string | number>) =>
      void this.events.push([event, fields]);
    const replica = {
      propose: (command: ControlCommand) => group.propose(this, command),
      query: <Answer>() => group.query(this) as Promise<Answer>,
    };
    const holder = new DutyLeader({
      seat: {
        leadership: () => this.#leadership,
        confirmLeadership: () => group.confirm(this),
        onLeadership: (listener) => this.#listener = listener,
      },
      group: replica,
      process: {
        host: this.name as HostId,
        incarnation: this.#incarnation as Incarnation,
      },
      duties: ["usage_report"],
      signal,
      clock,
      pause,
      onEvent,
    });
    const { entryHosts, customersSince = () => 0 } = this.#options;
    const polls = new VirtualPolls(this, {
      entryHosts,
      isNeeded: () => holder.isLeading,
      signal,
    });
    new UsageReporter({
      holder,
      calls: this.calls,
      polls,
      group: replica,
      windowLength: 5_000,
      customersSince,
      onNotHolder: (term) => holder.giveUp(term),
      onEvent,
      clock,
      pause,
      signal,
    }).start();
    holder.start();
  }
}

/** Calls to a platform that keeps what it received. */
export class VirtualCalls extends PlatformCalls {
  /** Time from the write to the platform, in milliseconds. */
  delay: () => number = () => 5;
  /** What the sender learns, although the platform received the call. */
  answer: () => PlatformCallResult["type"] = () => "accepted";
  isReachable = true;
  readonly #host: VirtualHost;
  readonly #received: ReceivedCall[];

  constructor(host: VirtualHost, received: ReceivedCall[]) {
    super();
    this.#host = host;
    this.#received = received;
  }

  override async reportUsage(
    report: UsageReport,
    term: DutyTerm,
  ): Promise<PlatformCallResult> {
    const { machine, name, group } = this.#host;
    if (!term.mayAct()) return { type: "not_sent", message: "not the holder" };
    const type = this.isReachable ? this.answer() : "unclear";
    const delay = this.delay();
    if (this.isReachable) {
      const { fence } = term;
      group.time.schedule(delay, () =>
        this.#received.push({
          at: group.time.now,
          machine: name,
          fence,
          window: report.window,
          counts: JSON.stringify([...report.counts]),
          accepted: type === "accepted",
        }));
    }
    await machine.pause(2 * delay);
    return { type, message: "" } as PlatformCallResult;
  }

  override orderServers(_order: ServerOrder): Promise<PlatformCallResult> {
    throw new Error("No servers are ordered here");
  }
}

/** An entry host that records begun requests. */
export class VirtualEntryHost {
  readonly name: HostId;
  readonly machine: VirtualMachine;
  isReachable = true;
  recorder: UsageRecorder;
  #incarnation = 1;

  constructor(name: string, time: VirtualTime) {
    this.name = name as HostId;
    this.machine = new VirtualMachine(time);
    this.recorder = this.#createRecorder();
  }

  begin(customer: string): void {
    this.recorder.record(customer as CustomerId);
  }

  restart(): void {
    this.#incarnation += 1;
    this.recorder = this.#createRecorder();
  }

  #createRecorder(): UsageRecorder {
    return new UsageRecorder({
      incarnation: this.#incarnation as Incarnation,
      clock: this.machine.clock,
    });
  }
}

/** Polls every entry host once a second. */
class VirtualPolls extends HostPolls {
  readonly #hosts: readonly VirtualEntryHost[];
  readonly #listeners = new Set<(outcome: HostPollOutcome) => void>();
  #cursors = new Map<HostId, { incarnation: Incarnation; after: number }>();

  constructor(host: VirtualHost, options: {
    readonly entryHosts: readonly VirtualEntryHost[];
    readonly isNeeded: () => boolean;
    readonly signal: AbortSignal;
  }) {
    super();
    const { isNeeded, signal } = options;
    this.#hosts = options.entryHosts;
    const poll = () => {
      if (signal.aborted) return;
      if (isNeeded()) {
        for (const entry of this.#hosts) {
          this.#poll(host, entry);
        }
      } else this.#cursors.clear();
      host.machine.schedule(1_000, poll);
    };
    host.machine.schedule(0, poll);
  }

  override hosts(): readonly PolledHost[] {
    return this.#hosts.map(({ name }) => ({
      host: name,
      region: "sabah" as Region,
    }));
  }

  override onOutcome(
    listener: (outcome: HostPollOutcome) => void,
    { signal }: { readonly signal: AbortSignal },
  ): void {
    this.#listeners.add(listener);
    signal.addEventListener("abort", () => this.#listeners.delete(listener));
  }

  #poll(from: VirtualHost, entry: VirtualEntryHost): void {
    const { clock } = from.machine;
    const sentAt = clock.monotonicMilliseconds();
    const cursor = this.#cursors.get(entry.name);
    if (!entry.isReachable) return;
    entry.machine.schedule(15, () => {
      const answer = entry.recorder.answer({ ...cursor });
      from.machine.schedule(15, () => {
        const { incarnation, last } = answer;
        this.#cursors.set(entry.name, { incarnation, after: last });
        const endedAt = clock.monotonicMilliseconds();
        const region = "sabah" as Region;
        for (const listener of this.#listeners) {
          listener({ host: entry.name, region, sentAt, endedAt, answer });
        }
      });
    });
  }
}
