/**
 * Membership of hosts and backend servers as a pure reducer.
 *
 * @module
 */

import type { BackendServerId, HostId, Incarnation } from "rhubarbstage";
import { Reducer, SeededRandom } from "rhubarbstage";
import {
  choiceInterval,
  deletionMemory,
  departureMemory,
  loadLifetime,
  probeAge,
  probesPerRound,
  quarantineMarkLimit,
  renewTimeout,
} from "./constants.ts";
import {
  advanceHeartbeat,
  buildDigest,
  compareDigest,
  createLog,
  DeltaBuilder,
  entrySize,
  isNews,
  ownLog,
  toWant,
  writeEntry,
} from "./host_logs.ts";
import { hashText } from "./hash.ts";
import { listNeighbours, pickGossipTargets } from "./neighbours.ts";
import { chooseRegistrars, pickRegistrar } from "./registrars.ts";
import {
  evidenceAt,
  type HostLog,
  isAlive,
  isNewer,
  isUsable,
  type KnownServer,
  type MembershipState,
} from "./state.ts";
import type {
  Delta,
  DigestEntry,
  GossipMessage,
  HostRecord,
  LogValue,
  MembershipEffect,
  MembershipEvent,
  ServerLoad,
  ServerRecord,
  SharedLoad,
  SharedMark,
  Want,
} from "./types.ts";

/** Options of a {@linkcode MembershipReducer}. */
export interface MembershipReducerOptions {
  /** This host. */
  readonly self: HostRecord;
  /** Start of this process. */
  readonly incarnation: Incarnation;
  /** Hosts known from the process settings. */
  readonly seeds?: readonly HostRecord[];
  /** Seed of the choice of targets; defaults to the hash of the host's name. */
  readonly seed?: number;
}

type Effects = MembershipEffect[];

function serverKey(id: BackendServerId): string {
  return `server:${id}`;
}

/** Membership on one host. See docs/design.md, section 4.6. */
export class MembershipReducer
  extends Reducer<MembershipState, MembershipEvent, MembershipEffect> {
  #options: MembershipReducerOptions;

  constructor(options: MembershipReducerOptions) {
    super();
    this.#options = options;
  }

  override initial(): MembershipState {
    const { self, incarnation, seeds = [], seed = hashText(self.host) } =
      this.#options;
    const state: MembershipState = {
      self,
      incarnation,
      logs: new Map([[self.host, createLog(self.host, incarnation)]]),
      servers: new Map(),
      departures: new Map(),
      seeds,
      random: new SeededRandom(seed),
      registrarsByRegion: new Map([[self.region, [self.host]]]),
      registrars: new Set([self.host]),
      neighbours: [],
      chosenAt: -Infinity,
      sliceStart: 0,
    };
    ownLog(state).alive = true;
    writeEntry(state, "host", { type: "host", record: self }, 0);
    return state;
  }

  override reduce(
    state: MembershipState,
    event: MembershipEvent,
  ): readonly MembershipEffect[] {
    const effects: Effects = [];
    switch (event.type) {
      case "announced":
        announce(state, event, effects);
        break;
      case "left":
        leave(state, event, effects);
        break;
      case "checked":
        takeCheck(state, event, effects);
        break;
      case "received":
        receive(state, event, effects);
        break;
      case "marks_published":
        publishMarks(state, event.marks, event.now);
        break;
      case "revision_changed": {
        const { revision, now } = event;
        writeEntry(state, "revision", { type: "revision", revision }, now);
        break;
      }
      case "tick":
        tick(state, event.now, effects);
        break;
    }
    return effects;
  }
}

function announce(
  state: MembershipState,
  event: {
    now: number;
    record: ServerRecord;
    load?: ServerLoad;
    forwarded?: boolean;
    takeOver?: boolean;
  },
  effects: Effects,
): void {
  const { now, load } = event;
  const known = state.servers.get(event.record.id);
  const record = orderAnnouncement(state, event);
  if (isOutdated(state, record)) return;
  const unchanged = known !== undefined && !isNewer(record, known.record);
  const keeper = keeperOf(state, record, unchanged ? known : undefined);
  if (keeper !== state.self.host && !event.forwarded && !event.takeOver) {
    // Renewals stay with one owner, so that a balancer in front of the hosts
    // does not turn each renewal into a change that gossip has to spread.
    const forwarded = event.record;
    effects.push({ type: "forward", to: keeper, record: forwarded, load });
    return;
  }
  if (!unchanged) {
    writeEntry(state, serverKey(record.id), { type: "server", record }, now);
    takeRecord(state, { record, owner: state.self.host, now }, effects);
  }
  const server = state.servers.get(record.id);
  if (server === undefined) return;
  server.renewedAt = now;
  if (load !== undefined) {
    server.load = load;
    server.loadAt = now;
  }
  refreshServer(state, server, { now, changed: true }, effects);
}

/** The host that has to own a record: its owner, or else its registrar. */
function keeperOf(
  state: MembershipState,
  record: ServerRecord,
  known: KnownServer | undefined,
): HostId {
  if (known === undefined) return pickRegistrar(state, record);
  const { owner } = known;
  if (owner === state.self.host || state.registrars.has(owner)) return owner;
  return pickRegistrar(state, record);
}

/**
 * Gives an announced record its takeover number: that of the known record, or
 * the next one when the owner is gone or the record had expired.
 */
function orderAnnouncement(
  state: MembershipState,
  event: {
    now: number;
    record: ServerRecord;
    forwarded?: boolean;
    takeOver?: boolean;
  },
): ServerRecord {
  const { record, now } = event;
  const known = state.servers.get(record.id);
  if (known !== undefined && hasSameContent(known.record, record)) {
    const owner = state.logs.get(known.owner);
    const ownerAlive = owner !== undefined && isAlive(state, owner, now);
    const own = known.owner === state.self.host;
    const passedOn = event.forwarded === true || event.takeOver === true;
    const next = !own && (passedOn || !ownerAlive);
    const takeover = known.record.takeover + (next ? 1 : 0);
    return { ...known.record, takeover };
  }
  const departure = state.departures.get(record.id);
  if (departure !== undefined && isSameAnnouncement(departure, record)) {
    return { ...record, takeover: departure.takeover + 1 };
  }
  return record;
}

/**
 * Whether a record says nothing new. Servers may count up their sequence with
 * each renewal, which must not become a change that gossip has to spread.
 */
function hasSameContent(left: ServerRecord, right: ServerRecord): boolean {
  return contentOf(left) === contentOf(right);
}

function contentOf(record: ServerRecord): string {
  const { sequence: _sequence, takeover: _takeover, ...content } = record;
  return JSON.stringify(Object.entries(content).sort());
}

function isSameAnnouncement(
  left: { incarnation: Incarnation; sequence: number },
  right: { incarnation: Incarnation; sequence: number },
): boolean {
  return left.incarnation === right.incarnation &&
    left.sequence === right.sequence;
}

/** Whether a record is older than what is known of the server. */
function isOutdated(state: MembershipState, record: ServerRecord): boolean {
  const known = state.servers.get(record.id);
  if (known !== undefined && isNewer(known.record, record)) return true;
  const departure = state.departures.get(record.id);
  if (departure === undefined) return false;
  // A renewal that was under way when its server left must not bring it back.
  if (departure.left) return record.incarnation <= departure.incarnation;
  return !isNewer(record, departure);
}

function takeRecord(
  state: MembershipState,
  change: { record: ServerRecord; owner: HostId; now: number },
  effects: Effects,
): void {
  const { record, owner, now } = change;
  const known = state.servers.get(record.id);
  const replaced = known !== undefined &&
    known.record.incarnation < record.incarnation;
  if (replaced) {
    const crashed = !known.record.leaving;
    effects.push({ type: "server_gone", id: record.id, crashed });
  }
  const kept = replaced ? undefined : known;
  if (owner !== state.self.host) {
    ownLog(state).entries.delete(serverKey(record.id));
  }
  state.departures.delete(record.id);
  state.servers.set(record.id, {
    record,
    owner,
    load: kept?.load,
    loadAt: kept?.loadAt ?? -Infinity,
    checkedAt: kept?.checkedAt ?? -Infinity,
    renewedAt: owner === state.self.host ? now : -Infinity,
    usable: kept?.usable ?? false,
    checkStartedAt: -Infinity,
  });
}

function refreshServer(
  state: MembershipState,
  server: KnownServer,
  options: { now: number; changed: boolean },
  effects: Effects,
): void {
  const usable = isUsable(state, server, options.now);
  if (!options.changed && usable === server.usable) return;
  server.usable = usable;
  effects.push({
    type: "server_seen",
    record: server.record,
    load: server.load,
    usable,
  });
}

function leave(
  state: MembershipState,
  event: { now: number; id: BackendServerId; incarnation: Incarnation },
  effects: Effects,
): void {
  const { id, incarnation, now } = event;
  const known = state.servers.get(id);
  if (known !== undefined && known.record.incarnation > incarnation) return;
  const sequence = (known?.record.sequence ?? 0) + 1;
  const departure = { incarnation, sequence, takeover: 0, left: true };
  writeEntry(
    state,
    serverKey(id),
    { type: "server_gone", id, ...departure },
    now,
  );
  depart(state, { id, ...departure, now }, effects);
}

function depart(
  state: MembershipState,
  change: {
    id: BackendServerId;
    incarnation: Incarnation;
    sequence: number;
    takeover: number;
    left: boolean;
    now: number;
  },
  effects: Effects,
): void {
  const { id, incarnation, sequence, takeover, left, now } = change;
  const known = state.servers.get(id);
  if (known !== undefined && isNewer(known.record, change)) return;
  const earlier = state.departures.get(id);
  if (earlier !== undefined && isNewer(earlier, change)) return;
  const departure = { incarnation, sequence, takeover, left, at: now };
  state.departures.set(id, departure);
  if (known === undefined) return;
  state.servers.delete(id);
  const crashed = !left && !known.record.leaving;
  effects.push({ type: "server_gone", id, crashed });
}

function takeCheck(
  state: MembershipState,
  event: {
    now: number;
    id: BackendServerId;
    startedAt: number;
    incarnation: Incarnation;
    leaving: boolean;
  },
  effects: Effects,
): void {
  const server = state.servers.get(event.id);
  if (server === undefined) return;
  server.checkStartedAt = -Infinity;
  if (server.record.incarnation !== event.incarnation) return;
  if (event.leaving) {
    const { id, now } = event;
    leave(state, { id, now, incarnation: event.incarnation }, effects);
    return;
  }
  server.checkedAt = Math.max(server.checkedAt, event.startedAt);
  refreshServer(state, server, { now: event.now, changed: false }, effects);
}

function receive(
  state: MembershipState,
  event: { now: number; from: HostId; message: GossipMessage },
  effects: Effects,
): void {
  const { now, message } = event;
  for (const delta of message.deltas) applyDelta(state, delta, now, effects);
  for (const load of message.loads) takeLoad(state, load, now, effects);
  const reply = answerDigest(state, message, now);
  if (reply !== undefined) {
    effects.push({ type: "send", to: event.from, message: reply });
  }
}

/** Answers wants, pushes what the sender lacks, asks for what this host lacks. */
function answerDigest(
  state: MembershipState,
  message: GossipMessage,
  now: number,
): GossipMessage | undefined {
  const builder = new DeltaBuilder();
  const wants: Want[] = [];
  for (const want of message.wants) builder.addWanted(state, want, now);
  for (const entry of message.digest) {
    compareEntry(state, entry, { now, builder, wants });
  }
  if (builder.deltas.length === 0 && wants.length === 0) return undefined;
  return { digest: [], wants, deltas: builder.deltas, loads: [] };
}

function compareEntry(
  state: MembershipState,
  entry: DigestEntry,
  reply: { now: number; builder: DeltaBuilder; wants: Want[] },
): void {
  const log = state.logs.get(entry.host);
  const comparison = compareDigest(log, entry);
  if (comparison === "newer" && entry.host !== state.self.host) {
    reply.wants.push(toWant(log, entry));
    return;
  }
  if (comparison === "older") {
    const { host, incarnation, version } = entry;
    reply.builder.addWanted(state, { host, incarnation, version }, reply.now);
    return;
  }
  if (log !== undefined) advanceHeartbeat(log, entry, reply.now);
}

function applyDelta(
  state: MembershipState,
  delta: Delta,
  now: number,
  effects: Effects,
): void {
  const { digest } = delta;
  if (digest.host === state.self.host) return;
  const log = prepareLog(state, digest);
  if (log === undefined) return;
  // A delta for an earlier process of this host starts after entries that this
  // process does not have.
  if (delta.from > log.version) return;
  for (const { key, version, value } of delta.entries) {
    if (version <= log.version) continue;
    const size = entrySize(key, value);
    log.entries.set(key, { version, value, size, storedAt: now });
    log.version = version;
    if (isNews(value)) log.changedAt = now;
    applyValue(state, { host: digest.host, value, now }, effects);
  }
  if (!delta.complete) return;
  log.version = Math.max(log.version, digest.version);
  if (log.version === digest.version) advanceHeartbeat(log, digest, now);
}

/** The log that a delta extends; a newer incarnation starts an empty one. */
function prepareLog(
  state: MembershipState,
  digest: DigestEntry,
): HostLog | undefined {
  const log = state.logs.get(digest.host);
  if (log !== undefined && log.incarnation > digest.incarnation) {
    return undefined;
  }
  if (log !== undefined && log.incarnation === digest.incarnation) return log;
  const created = createLog(digest.host, digest.incarnation);
  state.logs.set(digest.host, created);
  return created;
}

function applyValue(
  state: MembershipState,
  change: { host: HostId; value: LogValue; now: number },
  effects: Effects,
): void {
  const { host, value, now } = change;
  switch (value.type) {
    case "host":
      effects.push({ type: "host_seen", record: value.record });
      break;
    case "marks":
      effects.push({ type: "marks_heard", marks: value.marks });
      break;
    case "revision":
      break;
    case "server_gone":
      depart(state, { ...value, now }, effects);
      break;
    case "server":
      takeGossipedRecord(state, { record: value.record, host, now }, effects);
      break;
  }
}

function takeGossipedRecord(
  state: MembershipState,
  change: { record: ServerRecord; host: HostId; now: number },
  effects: Effects,
): void {
  const { record, host, now } = change;
  if (isOutdated(state, record)) return;
  const known = state.servers.get(record.id);
  const same = known !== undefined && !isNewer(record, known.record);
  // The server renews here, so another host's copy of the same record must not
  // take ownership away.
  if (same && known.owner === state.self.host) return;
  takeRecord(state, { record, owner: host, now }, effects);
  const server = state.servers.get(record.id);
  if (server === undefined) return;
  refreshServer(state, server, { now, changed: !same }, effects);
}

function takeLoad(
  state: MembershipState,
  shared: SharedLoad,
  now: number,
  effects: Effects,
): void {
  const server = state.servers.get(shared.id);
  if (server === undefined) return;
  if (server.record.incarnation !== shared.incarnation) return;
  const reportedAt = now - shared.age;
  if (reportedAt <= server.loadAt) return;
  server.load = shared.load;
  server.loadAt = reportedAt;
  refreshServer(state, server, { now, changed: true }, effects);
}

function publishMarks(
  state: MembershipState,
  marks: readonly SharedMark[],
  now: number,
): void {
  const newest = marks.slice(-quarantineMarkLimit);
  writeEntry(state, "marks", { type: "marks", marks: newest }, now);
}

function tick(state: MembershipState, now: number, effects: Effects): void {
  const log = ownLog(state);
  log.heartbeat += 1;
  log.heartbeatAt = now;
  expireServers(state, now, effects);
  refreshHosts(state, now, effects);
  chooseHosts(state, now);
  forget(state, now);
  startChecks(state, now, effects);
  const message = buildRoundMessage(state, now);
  for (const to of pickGossipTargets(state, now)) {
    effects.push({ type: "send", to, message });
  }
}

/** Choices look at all hosts, so they are not made in each round. */
function chooseHosts(state: MembershipState, now: number): void {
  const settled = now - state.chosenAt < choiceInterval;
  if (settled && state.neighbours.length > 0) return;
  state.chosenAt = now;
  state.registrarsByRegion = chooseRegistrars(state, now);
  state.registrars = new Set([...state.registrarsByRegion.values()].flat());
  state.neighbours = listNeighbours(state, now).map(({ host }) => host);
}

function buildRoundMessage(
  state: MembershipState,
  now: number,
): GossipMessage {
  const builder = new DeltaBuilder();
  const recent = [...state.servers.values()]
    .filter(({ loadAt }) => now - loadAt <= loadLifetime)
    .sort((left, right) => right.loadAt - left.loadAt);
  for (const server of recent) {
    if (server.load === undefined) continue;
    const fits = builder.addLoad({
      id: server.record.id,
      incarnation: server.record.incarnation,
      load: server.load,
      age: Math.round(now - server.loadAt),
    });
    if (!fits) break;
  }
  const digest = buildDigest(state, now);
  return { digest, wants: [], deltas: [], loads: builder.loads };
}

function expireServers(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  for (const server of [...state.servers.values()]) {
    const owned = server.owner === state.self.host;
    if (owned && now - evidenceAt(state, server) > renewTimeout) {
      const { id, incarnation, sequence, takeover } = server.record;
      const departure = { id, incarnation, sequence, takeover, left: false };
      writeEntry(
        state,
        serverKey(id),
        { type: "server_gone", ...departure },
        now,
      );
      depart(state, { ...departure, now }, effects);
      continue;
    }
    refreshServer(state, server, { now, changed: false }, effects);
  }
}

function refreshHosts(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  for (const log of state.logs.values()) {
    const alive = isAlive(state, log, now);
    if (log.alive && !alive) {
      effects.push({ type: "host_gone", host: log.host });
    }
    log.alive = alive;
  }
}

/** Drops what nobody can still be confused by, to bound memory. */
function forget(state: MembershipState, now: number): void {
  for (const [id, departure] of state.departures) {
    if (now - departure.at > departureMemory) state.departures.delete(id);
  }
  for (const [id, server] of state.servers) {
    const silence = now - evidenceAt(state, server);
    if (!server.usable && silence > departureMemory) state.servers.delete(id);
  }
  for (const [host, log] of state.logs) {
    const silent = host !== state.self.host &&
      now - log.heartbeatAt > departureMemory;
    if (silent && log.heartbeatAt !== -Infinity) state.logs.delete(host);
  }
  const log = ownLog(state);
  for (const [key, entry] of log.entries) {
    const deleted = entry.value.type === "server_gone";
    if (deleted && now - entry.storedAt > deletionMemory) {
      log.entries.delete(key);
    }
  }
}

function startChecks(
  state: MembershipState,
  now: number,
  effects: Effects,
): void {
  let started = 0;
  for (const server of state.servers.values()) {
    if (started >= probesPerRound) return;
    const stale = now - evidenceAt(state, server) > probeAge;
    const waiting = now - server.checkStartedAt < probeAge;
    if (!stale || waiting || server.record.leaving) continue;
    server.checkStartedAt = now;
    started += 1;
    const { id, address } = server.record;
    effects.push({ type: "check", id, address });
  }
}
