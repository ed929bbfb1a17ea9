/**
 * Seeded simulation of a group in memory. Messages are delayed, dropped,
 * duplicated and reordered; members crash and restart with only synced data.
 */
import type { HostId, ReplicaId } from "rhubarbstage";
import {
  bootstrapPosition,
  Consensus,
  type ConsensusEffect,
  type ConsensusEvent,
  type ConsensusState,
  currentSeats,
  type DurableState,
  type Entry,
  type Message,
  type Seat,
  type Seats,
  type Snapshot,
} from "../../src/mod.ts";

/** One step of a generated history; `pick` selects member, message or value. */
export interface Step {
  readonly kind:
    | "tick"
    | "deliver"
    | "sync"
    | "write"
    | "read"
    | "drop"
    | "duplicate"
    | "crash"
    | "restart"
    | "cut"
    | "heal"
    | "seats";
  readonly pick: number;
}

/** A client's call and the position in the log that it observed. */
interface Call {
  readonly kind: "write" | "read";
  readonly start: number;
  end: number;
  /** Number of commands up to and including the write, or seen by the read. */
  position: number;
}

type DiskWriteEffect = Extract<
  ConsensusEffect,
  { kind: "persist" | "install_snapshot" | "save_snapshot" }
>;

interface PendingWrite {
  readonly effect: DiskWriteEffect;
  readonly snapshot?: Snapshot;
}

export class Member {
  readonly reducer: Consensus;
  readonly state: ConsensusState;
  readonly queue: PendingWrite[] = [];
  readonly calls = new Map<number, Call>();
  /** Calls of proposed writes by log position. */
  readonly proposed = new Map<string, Call>();
  commands: string[];

  constructor(readonly seat: Seat, readonly disk: Disk, seed: number) {
    this.reducer = new Consensus({
      self: seat.replica,
      durable: structuredClone(disk.durable),
      seed,
      heartbeatTicks: 1,
      electionTicks: 4,
      snapshotEntries: 8,
      retainedEntries: 3,
    });
    this.state = this.reducer.initial();
    this.commands = decodeCommands(disk.snapshot);
  }
}

interface Disk {
  durable: DurableState;
  snapshot: Snapshot | undefined;
}

function decodeCommands(snapshot: Snapshot | undefined): string[] {
  if (snapshot === undefined) return [];
  return JSON.parse(new TextDecoder().decode(snapshot.data));
}

export function seatOf(number: number): Seat {
  return {
    replica: `r${number}` as ReplicaId,
    host: `h${number}` as HostId,
  };
}

function emptyDisk(seats?: Seats): Disk {
  const first: Entry[] = seats === undefined
    ? []
    : [{ kind: "seats", ...bootstrapPosition, seats }];
  return {
    durable: {
      term: seats === undefined ? 0 : 1,
      vote: undefined,
      snapshot: undefined,
      base: { index: 0, term: 0 },
      entries: first,
    },
    snapshot: undefined,
  };
}

export class SimulatedGroup {
  readonly seats: Seat[];
  readonly members = new Map<ReplicaId, Member>();
  readonly disks = new Map<ReplicaId, Disk>();
  messages: Message[] = [];
  readonly calls: Call[] = [];
  /** Committed entries by index, from whichever member applied them first. */
  readonly committed = new Map<number, Entry>();
  readonly #leaders = new Map<number, Member>();
  readonly #entryContents = new Map<string, string>();
  readonly #cut = new Set<ReplicaId>();
  #clock = 0;
  #token = 0;

  constructor(options: { voters: number; spares?: number }) {
    const count = options.voters + (options.spares ?? 0);
    this.seats = Array.from({ length: count }, (_, number) => seatOf(number));
    const voters = this.seats.slice(0, options.voters);
    for (const seat of this.seats) {
      const seats = voters.includes(seat)
        ? { voters, learners: [] }
        : undefined;
      this.disks.set(seat.replica, emptyDisk(seats));
      this.start(seat);
    }
  }

  start(seat: Seat): void {
    const disk = this.disks.get(seat.replica) as Disk;
    this.#token += 1;
    const seed = this.#token * 7919 + Number(seat.replica.slice(1));
    this.members.set(seat.replica, new Member(seat, disk, seed));
  }

  /** Stops a member after the first `synced` of its pending writes. */
  crash(replica: ReplicaId, synced = 0): void {
    const member = this.members.get(replica) as Member;
    for (const pending of member.queue.slice(0, synced)) sync(member, pending);
    this.members.delete(replica);
  }

  cut(replica: ReplicaId): void {
    this.#cut.add(replica);
  }

  heal(): void {
    this.#cut.clear();
  }

  leader(): Member | undefined {
    return [...this.members.values()]
      .filter((member) => member.state.role === "leader")
      .sort((left, right) => right.state.term - left.state.term)[0];
  }

  dispatch(member: Member, event: ConsensusEvent): void {
    const wasLeader = member.state.role === "leader";
    const effects = member.reducer.reduce(member.state, event);
    if (!wasLeader && member.state.role === "leader") this.#checkLeader(member);
    for (const effect of effects) this.#perform(member, effect);
  }

  /** Completes the oldest pending write of a member. */
  completeOldestWrite(member: Member): void {
    const pending = member.queue.shift();
    if (pending === undefined) return;
    sync(member, pending);
    const { effect } = pending;
    if (effect.kind === "save_snapshot") {
      this.dispatch(member, { kind: "snapshot_saved", head: effect.head });
    } else {
      this.dispatch(member, { kind: "persisted", token: effect.token });
    }
  }

  deliver(message: Message): void {
    if (this.#cut.has(message.from) || this.#cut.has(message.to)) return;
    const member = this.members.get(message.to);
    if (member === undefined) return;
    this.dispatch(member, {
      kind: "message",
      message: structuredClone(message),
    });
  }

  write(member: Member): Call {
    const call = this.#call("write");
    this.#token += 1;
    const data = new TextEncoder().encode(`w${this.#token}`);
    member.calls.set(this.#token, call);
    this.dispatch(member, {
      kind: "propose",
      token: this.#token,
      commands: [data],
    });
    return call;
  }

  read(member: Member): Call {
    const call = this.#call("read");
    this.#token += 1;
    member.calls.set(this.#token, call);
    this.dispatch(member, { kind: "read", token: this.#token });
    return call;
  }

  /** Ticks all members and flushes, once for each round. */
  runRounds(rounds: number): void {
    for (let round = 0; round < rounds; round += 1) {
      for (const member of [...this.members.values()]) {
        this.dispatch(member, { kind: "tick" });
      }
      this.flush();
    }
  }

  /** Completes writes and delivers messages until none are pending. */
  flush(): void {
    for (let round = 0; round < 500; round += 1) {
      const writing = [...this.members.values()].filter((member) =>
        member.queue.length > 0
      );
      for (const member of writing) this.completeOldestWrite(member);
      const batch = this.messages.splice(0);
      for (const message of batch) this.deliver(message);
      if (writing.length === 0 && batch.length === 0) return;
    }
    throw new Error("Writes or messages are still pending after 500 rounds");
  }

  perform(step: Step): void {
    this.#clock += 1;
    const { pick } = step;
    const alive = [...this.members.values()];
    const member = alive[pick % alive.length];
    const position = this.messages.length === 0
      ? 0
      : pick % this.messages.length;
    switch (step.kind) {
      case "tick":
        return member && this.dispatch(member, { kind: "tick" });
      case "sync":
        return member && this.completeOldestWrite(member);
      case "write":
        return void (member && this.write(this.#chooseMember(member, pick)));
      case "read":
        return void (member && this.read(this.#chooseMember(member, pick)));
      case "deliver":
        return this.messages.splice(position, 1).forEach((message) =>
          this.deliver(message)
        );
      case "drop":
        return void this.messages.splice(position, 1);
      case "duplicate":
        return void this.messages.push(
          ...this.messages.slice(position, position + 1),
        );
      case "crash":
        return member &&
          this.crash(member.seat.replica, (pick >> 4) % 3);
      case "restart": {
        const down = this.seats.filter(({ replica }) =>
          !this.members.has(replica)
        );
        const seat = down[pick % down.length];
        return seat && this.start(seat);
      }
      case "cut":
        return member && this.cut(member.seat.replica);
      case "heal":
        return this.heal();
      case "seats":
        return this.#changeSeats(pick);
    }
  }

  /** Chooses any member, old leaders included, or mostly the newest leader. */
  #chooseMember(member: Member, pick: number): Member {
    return (pick >> 6) % 3 === 0 ? member : this.leader() ?? member;
  }

  #changeSeats(pick: number): void {
    const leader = this.leader();
    if (leader === undefined) return;
    const seat = this.seats[pick % this.seats.length] as Seat;
    const { replica } = seat;
    const seats = currentSeats(leader.state);
    const isLearner = seats.learners.some((item) => item.replica === replica);
    const isVoter = seats.voters.some((item) => item.replica === replica);
    if (isVoter && seats.voters.length <= 2) return;
    this.#token += 1;
    this.dispatch(leader, {
      kind: "change_seats",
      token: this.#token,
      change: isVoter
        ? { kind: "remove", replica }
        : isLearner
        ? { kind: "promote", replica }
        : { kind: "add_learner", seat },
    });
  }

  #call(kind: Call["kind"]): Call {
    const call = { kind, start: this.#clock, end: Infinity, position: -1 };
    this.calls.push(call);
    return call;
  }

  #perform(member: Member, effect: ConsensusEffect): void {
    switch (effect.kind) {
      case "persist":
        for (const entry of effect.entries) this.#checkEntry(member, entry);
        member.queue.push({ effect });
        return;
      case "save_snapshot": {
        const data = encodeCommands(member.commands);
        member.queue.push({
          effect,
          snapshot: { ...effect.head, data },
        });
        return;
      }
      case "install_snapshot":
        member.commands = decodeCommands(effect.snapshot);
        member.queue.push({ effect, snapshot: effect.snapshot });
        return;
      case "send":
        this.messages.push(structuredClone(effect.message));
        return;
      case "send_snapshot":
        return this.#sendSnapshot(member, effect);
      case "appended": {
        const call = member.calls.get(effect.token);
        if (call === undefined) return;
        member.proposed.set(`${effect.first.index}:${effect.first.term}`, call);
        return;
      }
      case "apply":
        return this.#apply(member, effect.entries);
      case "answer_read": {
        const call = member.calls.get(effect.token) as Call;
        call.end = this.#clock;
        call.position = member.commands.length;
      }
    }
  }

  #sendSnapshot(member: Member, effect: { to: ReplicaId; term: number }): void {
    const { snapshot } = member.disk;
    const { to, term } = effect;
    if (snapshot === undefined) throw new Error("There is no snapshot to send");
    const from = member.seat.replica;
    this.messages.push({ kind: "snapshot", from, to, term, snapshot });
    const { index } = snapshot;
    this.dispatch(member, {
      kind: "snapshot_sent",
      to,
      index,
      delivered: true,
    });
  }

  #apply(member: Member, entries: readonly Entry[]): void {
    for (const entry of entries) {
      const known = this.committed.get(entry.index);
      if (known !== undefined && known.term !== entry.term) {
        throw new Error(`Two entries are committed at index ${entry.index}`);
      }
      this.committed.set(entry.index, entry);
      if (entry.kind !== "command") continue;
      member.commands.push(new TextDecoder().decode(entry.data));
      const call = member.proposed.get(`${entry.index}:${entry.term}`);
      if (call === undefined) continue;
      call.end = this.#clock;
      call.position = member.commands.length;
    }
  }

  /** Checks election safety and leader completeness. */
  #checkLeader(member: Member): void {
    const { term, log } = member.state;
    const other = this.#leaders.get(term);
    if (other !== undefined && other !== member) {
      throw new Error(`Term ${term} has two leaders`);
    }
    this.#leaders.set(term, member);
    for (const { index, term: expected } of this.committed.values()) {
      if (index < log.base.index || log.term(index) === expected) continue;
      throw new Error(`Leader of term ${term} lacks committed entry ${index}`);
    }
  }

  /**
   * Checks log matching: index and term identify an entry and its predecessor.
   */
  #checkEntry(member: Member, entry: Entry): void {
    const previous = member.state.log.term(entry.index - 1);
    const key = `${entry.index}:${entry.term}`;
    const content = JSON.stringify([entry, previous]);
    const known = this.#entryContents.get(key) ?? content;
    if (known !== content) throw new Error(`Logs differ at ${key}`);
    this.#entryContents.set(key, content);
  }

  /**
   * Compares all calls with a naive model, one list of commands: a call that
   * ended before another started precedes it in the list.
   */
  checkCalls(): void {
    const ended = this.calls.filter((call) => call.end !== Infinity);
    for (const before of ended) {
      for (const after of ended) {
        if (before.end >= after.start) continue;
        const isOrdered = after.kind === "write"
          ? before.position < after.position
          : before.position <= after.position;
        if (isOrdered) continue;
        throw new Error(
          `A ${after.kind} at ${after.start} is not ordered after a ${before.kind} ` +
            `that ended at ${before.end}`,
        );
      }
    }
  }
}

function encodeCommands(commands: readonly string[]): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(commands));
}

function sync(member: Member, pending: PendingWrite): void {
  const { effect, snapshot } = pending;
  const { disk } = member;
  const { durable } = disk;
  if (effect.kind === "persist") {
    const first = effect.entries[0]?.index ?? Infinity;
    const kept = durable.entries.filter((entry) => entry.index < first);
    disk.durable = {
      ...durable,
      term: effect.term,
      vote: effect.vote,
      entries: [...kept, ...structuredClone(effect.entries)],
    };
    return;
  }
  if (snapshot === undefined) return;
  const { index, term, seats } = snapshot;
  disk.snapshot = snapshot;
  const kept = effect.kind === "install_snapshot" ? [] : durable.entries;
  const base = effect.kind === "install_snapshot"
    ? { index, term }
    : durable.base;
  disk.durable = {
    ...durable,
    snapshot: { index, term, seats },
    base,
    entries: kept,
  };
}
