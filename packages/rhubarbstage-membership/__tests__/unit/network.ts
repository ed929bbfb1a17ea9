import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Incarnation,
  ModelName,
  Region,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import { MembershipReducer } from "../../src/mod.ts";
import type {
  HostRecord,
  MembershipEffect,
  MembershipEvent,
  MembershipState,
  ServerRecord,
} from "../../src/mod.ts";

interface Member {
  readonly reducer: MembershipReducer;
  state: MembershipState;
  up: boolean;
  readonly effects: MembershipEffect[];
}

interface PendingEvent {
  readonly at: number;
  readonly to: HostId;
  readonly event: (now: number) => MembershipEvent;
}

export function makeHost(name: string, region = "lombardia"): HostRecord {
  return {
    host: name as HostId,
    region: region as Region,
    availabilityZone: `${region}-a` as AvailabilityZone,
    peerAddress: `${name}:1`,
    httpAddress: `http://${name}:2`,
    replica: false,
  };
}

export function makeServer(
  id: string,
  changes: Partial<ServerRecord> = {},
): ServerRecord {
  return {
    id: id as BackendServerId,
    incarnation: 1 as Incarnation,
    sequence: 1,
    takeover: 0,
    address: `http://${id}`,
    region: "lombardia" as Region,
    availabilityZone: "lombardia-a" as AvailabilityZone,
    models: ["chat" as ModelName],
    services: [],
    role: "mixed",
    capacity: 8,
    honoursFencing: true,
    state: "serving",
    leaving: false,
    loaded: [],
    ...changes,
  };
}

/** Runs the reducers of several hosts over a simulated network. */
export class Network {
  readonly members = new Map<HostId, Member>();
  readonly hosts: HostRecord[];
  /** Pairs `from>to` whose messages are dropped. */
  readonly droppedPairs = new Set<string>();
  /** Answers of servers to direct checks; other servers do not answer. */
  readonly answers = new Map<
    BackendServerId,
    { incarnation: Incarnation; leaving: boolean }
  >();
  now = 0;
  #pendingEvents: PendingEvent[] = [];
  #random: SeededRandom;

  constructor(count: number, options: { seed?: number } = {}) {
    this.#random = new SeededRandom(options.seed ?? 1);
    const regions = ["lombardia", "veneto", "emilia"];
    this.hosts = Array.from(
      { length: count },
      (_, index) => makeHost(`host-${index}`, regions[index % 3]),
    );
    for (const self of this.hosts) this.start(self.host, 1);
  }

  start(host: HostId, incarnation: number): void {
    const self = this.hosts.find((record) => record.host === host);
    if (self === undefined) throw new Error(`Unknown host ${host}`);
    const reducer = new MembershipReducer({
      self,
      incarnation: incarnation as Incarnation,
      seeds: this.hosts,
    });
    const state = reducer.initial();
    this.members.set(host, { reducer, state, up: true, effects: [] });
  }

  member(index: number): Member {
    const member = this.members.get(`host-${index}` as HostId);
    if (member === undefined) throw new Error(`Unknown host ${index}`);
    return member;
  }

  isolate(index: number): void {
    for (const { host } of this.hosts) {
      this.droppedPairs.add(`${host}>host-${index}`).add(
        `host-${index}>${host}`,
      );
    }
  }

  dispatch(host: HostId, event: MembershipEvent): void {
    const member = this.members.get(host);
    if (member === undefined || !member.up) return;
    for (const effect of member.reducer.reduce(member.state, event)) {
      member.effects.push(effect);
      this.#execute(host, effect);
    }
  }

  announce(index: number, record: ServerRecord): void {
    const host = `host-${index}` as HostId;
    this.dispatch(host, { type: "announced", now: this.now, record });
  }

  /** Advances time in steps of 100 ms; hosts tick every 500 ms. */
  run(milliseconds: number, onStep: (now: number) => void = () => {}): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 100;
      onStep(this.now);
      this.#deliver();
      if (this.now % 500 !== 0) continue;
      for (const { host } of this.hosts) {
        this.dispatch(host, { type: "tick", now: this.now });
      }
    }
  }

  /** Returns the index of the host that owns a server's record, or -1. */
  ownerOf(id: string): number {
    const { state } = this.member(0);
    const owner = state.servers.get(id as BackendServerId)?.owner;
    return this.hosts.findIndex(({ host }) => host === owner);
  }

  isUsable(index: number, id: string): boolean {
    const { state } = this.member(index);
    return state.servers.get(id as BackendServerId)?.usable ?? false;
  }

  #send(from: HostId, to: HostId, event: PendingEvent["event"]): boolean {
    if (this.droppedPairs.has(`${from}>${to}`) || !this.members.get(to)?.up) {
      return false;
    }
    const at = this.now + 1 + this.#random.integer(60);
    this.#pendingEvents.push({ at, to, event });
    return true;
  }

  #execute(from: HostId, effect: MembershipEffect): void {
    if (effect.type === "send") {
      const { message } = effect;
      this.#send(
        from,
        effect.to,
        (now) => ({ type: "received", now, from, message }),
      );
    }
    if (effect.type === "forward") {
      const { record } = effect;
      const sent = this.#send(
        from,
        effect.to,
        (now) => ({ type: "announced", now, record, forwarded: true }),
      );
      if (sent) return;
      const now = this.now;
      this.dispatch(from, { type: "announced", now, record, takeOver: true });
    }
    if (effect.type === "check") this.#check(from, effect.id);
  }

  #check(from: HostId, id: BackendServerId): void {
    const answer = this.answers.get(id);
    if (answer === undefined) return;
    const startedAt = this.now;
    this.#pendingEvents.push({
      at: this.now + 5,
      to: from,
      event: (now) => ({ type: "checked", now, id, startedAt, ...answer }),
    });
  }

  #deliver(): void {
    const due = this.#pendingEvents.filter((pending) => pending.at <= this.now);
    this.#pendingEvents = this.#pendingEvents.filter((pending) =>
      pending.at > this.now
    );
    due.sort((left, right) => left.at - right.at);
    for (const entry of due) this.dispatch(entry.to, entry.event(this.now));
  }
}
