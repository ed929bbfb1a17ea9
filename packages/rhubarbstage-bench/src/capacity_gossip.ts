/**
 * Cost of membership for one host at growing numbers of hosts and servers.
 *
 * @module
 */

import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Incarnation,
  ModelName,
  Region,
} from "rhubarbstage";
import {
  decodeGossipMessage,
  encodeGossipMessage,
  type HostRecord,
  type MembershipEvent,
  MembershipReducer,
  type MembershipState,
  type ServerLoad,
  type ServerRecord,
  type WireGossipMessage,
} from "@rhubarbstage/membership";
import { decode, encode } from "@rhubarbstage/transport";
import type { CapacityFigure } from "./capacity_figure.ts";
import { measureMemory } from "./capacity_memory.ts";

const regions = ["lombardia", "veneto", "emilia"] as Region[];
/** Interval of the ticks of a host, in milliseconds. */
const tickInterval = 500;
/** Interval of the renewals of a server, in milliseconds. */
const renewInterval = 2_000;
/** Bytes of WebSocket, TCP and IP headers per message. */
const frameOverhead = 60;
/** Duration of one measurement in virtual time, in milliseconds. */
const measurementTime = 20_000;
const warmUpTime = 40_000;

/** Incarnation of all hosts at the start, in milliseconds since the epoch. */
const initialIncarnation = 1_800_000_000_000;
/** Timeout of a catch-up in virtual time, in milliseconds. */
const catchUpTimeout = 120_000;

interface Member {
  readonly host: HostId;
  reducer: MembershipReducer;
  state: MembershipState;
}

interface Envelope {
  readonly to: HostId;
  readonly from: HostId;
  readonly bytes: Uint8Array;
  /** Whether it is a renewal forwarded to the host that owns the server. */
  readonly renewal: boolean;
}

function makeHost(index: number): HostRecord {
  const region = regions[index % regions.length] as Region;
  return {
    host: `entry-${index}` as HostId,
    region,
    availabilityZone: `${region}-${index % 10}` as AvailabilityZone,
    peerAddress: `127.0.0.1:${20_000 + index}`,
    httpAddress: `http://127.0.0.1:${30_000 + index}`,
    replica: index < 11,
  };
}

function makeServer(index: number): ServerRecord {
  const region = regions[index % regions.length] as Region;
  return {
    id: `engine-${index}` as BackendServerId,
    incarnation: 1_800_000_000_000 + index as Incarnation,
    sequence: 1,
    takeover: 0,
    address: `http://127.0.0.1:${10_000 + index}`,
    region,
    availabilityZone: `${region}-${index % 10}` as AvailabilityZone,
    models: ["acqua-chat" as ModelName],
    services: [],
    role: "mixed",
    capacity: 32,
    honoursFencing: true,
    state: "serving",
    leaving: false,
    loaded: [],
  };
}

interface Renewal {
  readonly record: ServerRecord;
  readonly load?: ServerLoad;
}

/** Simulates hosts that exchange encoded messages in virtual time. */
class GossipSimulation {
  readonly members: Member[] = [];
  readonly #byHost = new Map<HostId, Member>();
  readonly #servers: number;
  readonly #seeds: readonly HostRecord[];
  #now = 0;
  bytes = 0;
  messages = 0;
  /** Processor time of reducers and codec, in milliseconds. */
  processorTime = 0;

  constructor(hostCount: number, serverCount: number) {
    this.#servers = serverCount;
    const hosts = Array.from({ length: hostCount }, (_, i) => makeHost(i));
    this.#seeds = hosts.slice(0, 11);
    for (const self of hosts) {
      const member = {
        host: self.host,
        ...this.#start(self, initialIncarnation),
      };
      this.members.push(member);
      this.#byHost.set(self.host, member);
    }
  }

  /**
   * Restarts every tenth host at once, like a recovering availability zone.
   * Returns the virtual time until these hosts can use all servers, in
   * milliseconds, and the mean bytes per host, both ways, in that time.
   */
  restartZone(): { readonly milliseconds: number; readonly bytes: number } {
    const restarted = this.members.filter((_, index) => index % 10 === 0);
    for (const member of restarted) {
      const self = member.state.self;
      Object.assign(member, this.#start(self, initialIncarnation + this.#now));
    }
    const start = this.#now;
    this.bytes = 0;
    const complete = ({ state }: Member) =>
      state.servers.size === this.#servers &&
      [...state.servers.values()].every(({ usable }) => usable);
    while (!restarted.every(complete) && this.#now - start < catchUpTimeout) {
      this.run(tickInterval);
    }
    const bytes = 2 * this.bytes / this.members.length;
    return { milliseconds: this.#now - start, bytes };
  }

  #start(self: HostRecord, incarnation: number) {
    const reducer = new MembershipReducer({
      self,
      incarnation: incarnation as Incarnation,
      seeds: this.#seeds,
    });
    return { reducer, state: reducer.initial() };
  }

  /** Advances the virtual time, in milliseconds. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    while (this.#now < end) {
      this.#now += tickInterval;
      const start = performance.now();
      this.#renew();
      let sent = this.members.flatMap((member) =>
        this.#reduce(member, { type: "tick", now: this.#now })
      );
      while (sent.length > 0) sent = sent.flatMap((one) => this.#deliver(one));
      this.processorTime += performance.now() - start;
    }
  }

  /**
   * Makes one server leave. Returns the virtual time until no host considers it
   * usable, in milliseconds.
   */
  timeToSpreadLeave(): number {
    const id = "engine-0" as BackendServerId;
    const start = this.#now;
    const last = this.members.at(-1) as Member;
    const incarnation = makeServer(0).incarnation;
    this.#reduce(last, { type: "left", now: start, id, incarnation });
    while (this.members.some(({ state }) => state.servers.get(id)?.usable)) {
      this.run(tickInterval);
    }
    return this.#now - start;
  }

  #renew(): void {
    if (this.#now % renewInterval !== 0) return;
    for (let index = 0; index < this.#servers; index += 1) {
      const record = makeServer(index);
      const member = this.#renewalHost(index, record);
      const load = {
        runningRequests: index % 32,
        queuedRequests: index % 5,
        cacheTokensUsed: 1_000 * (index % 400),
        cacheTokensTotal: 400_000,
      };
      const now = this.#now;
      const event = { type: "announced", now, record, load } as const;
      let sent = this.#reduce(member, event);
      while (sent.length > 0) sent = sent.flatMap((one) => this.#deliver(one));
    }
  }

  /** Returns the host that owns a server and receives its renewals. */
  #renewalHost(index: number, record: ServerRecord): Member {
    const first = this.members[index % this.members.length] as Member;
    const owner = first.state.servers.get(record.id)?.owner;
    return owner === undefined ? first : this.#byHost.get(owner) ?? first;
  }

  #reduce(member: Member, event: MembershipEvent): Envelope[] {
    const envelopes: Envelope[] = [];
    for (const effect of member.reducer.reduce(member.state, event)) {
      if (effect.type !== "send" && effect.type !== "forward") continue;
      const renewal = effect.type === "forward";
      const body = renewal
        ? { record: effect.record, load: effect.load }
        : encodeGossipMessage(effect.message);
      const bytes = encode(body);
      this.bytes += bytes.length + frameOverhead;
      this.messages += 1;
      envelopes.push({ to: effect.to, from: member.host, bytes, renewal });
    }
    return envelopes;
  }

  #deliver(envelope: Envelope): Envelope[] {
    const member = this.#byHost.get(envelope.to);
    if (member === undefined) return [];
    if (envelope.renewal) {
      const { record, load } = decode(envelope.bytes) as Renewal;
      const now = this.#now;
      const event = { type: "announced", now, record, load } as const;
      return this.#reduce(member, { ...event, forwarded: true });
    }
    const message = decodeGossipMessage(
      decode(envelope.bytes) as WireGossipMessage,
    );
    const { from } = envelope;
    return this.#reduce(member, {
      type: "received",
      now: this.#now,
      from,
      message,
    });
  }
}

/** Cost of membership for one host of a cluster. */
interface GossipCost {
  readonly hosts: number;
  readonly servers: number;
  /** Bytes sent and received per second. */
  readonly bytesPerSecond: number;
  /** Share of one core, in percent. */
  readonly corePercent: number;
  readonly memoryBytes: number;
  readonly spreadMilliseconds: number;
  readonly catchUpMilliseconds: number;
  /** Bytes sent and received by one host while a zone catches up. */
  readonly catchUpBytes: number;
}

function measureCluster(hosts: number, servers: number): GossipCost {
  const { value: simulation, bytes: memory } = measureMemory(() => {
    const simulation = new GossipSimulation(hosts, servers);
    simulation.run(warmUpTime);
    return simulation;
  });
  simulation.bytes = 0;
  simulation.processorTime = 0;
  simulation.run(measurementTime);
  const seconds = measurementTime / 1_000;
  const steady = {
    bytesPerSecond: 2 * simulation.bytes / hosts / seconds,
    corePercent: simulation.processorTime / hosts / measurementTime * 100,
  };
  const catchUp = simulation.restartZone();
  return {
    hosts,
    servers,
    ...steady,
    memoryBytes: memory / hosts,
    catchUpMilliseconds: catchUp.milliseconds,
    catchUpBytes: catchUp.bytes,
    spreadMilliseconds: simulation.timeToSpreadLeave(),
  };
}

/** Servers per host at the size expected in two years. */
const serversPerHost = 1_800 / 650;

function toFigures(
  costs: readonly GossipCost[],
  scale: { size: string; target: number; of: (cost: GossipCost) => number },
): CapacityFigure[] {
  const { size, target, of } = scale;
  const points = (value: (cost: GossipCost) => number) =>
    costs.map((cost) => ({ x: of(cost), y: value(cost) }));
  return [
    {
      name: "gossip traffic of one host, both ways",
      unit: "KB/s",
      size,
      target,
      points: points(({ bytesPerSecond }) => bytesPerSecond / 1_000),
      limit: 29,
    },
    {
      name: "gossip processor time of one host",
      unit: "% of a core",
      size,
      target,
      points: points(({ corePercent }) => corePercent),
      limit: 2.2,
    },
    {
      name: "gossip state of one host",
      unit: "MB",
      size,
      target,
      points: points(({ memoryBytes }) => memoryBytes / 1_000_000),
      limit: 32,
    },
    {
      name: "time until a returned zone can use all servers",
      unit: "s",
      size,
      target,
      points: points(({ catchUpMilliseconds }) => catchUpMilliseconds / 1_000),
    },
    {
      name: "traffic of one host, both ways, meanwhile",
      unit: "KB/s",
      size,
      target,
      points: points(({ catchUpBytes, catchUpMilliseconds }) =>
        catchUpBytes / catchUpMilliseconds
      ),
    },
    {
      name: "time until all hosts know of a leave",
      unit: "s",
      size,
      target,
      points: points(({ spreadMilliseconds }) => spreadMilliseconds / 1_000),
      limit: 5,
    },
  ];
}

/**
 * Measures the cost of membership for growing numbers of hosts and, with 32
 * hosts, of servers. The full measurement adds 650 hosts, the number expected in
 * two years, which takes some minutes.
 */
export function measureGossip(options: { full: boolean }): CapacityFigure[] {
  const hostCounts = options.full ? [8, 32, 128, 650] : [8, 32, 128];
  const byHosts = hostCounts.map((hosts) =>
    measureCluster(hosts, Math.round(hosts * serversPerHost))
  );
  const byServers = [13, 130, 1_800].map((servers) =>
    measureCluster(32, servers)
  );
  return [
    ...toFigures(byHosts, {
      size: "hosts with 2.8 servers each",
      target: 650,
      of: ({ hosts }) => hosts,
    }),
    ...toFigures(byServers, {
      size: "servers of 32 hosts",
      target: 1_800,
      of: ({ servers }) => servers,
    }),
  ];
}
