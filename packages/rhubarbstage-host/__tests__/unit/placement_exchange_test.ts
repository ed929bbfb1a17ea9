/**
 * Exchange of engine work between hosts of several regions. Pattern: each host
 * sends few requests, and the host that places the region's work is killed, cut
 * off or joined by a second one.
 */

import { setMaxListeners } from "node:events";
import {
  type AvailabilityZone,
  type BackendServerId,
  type CustomerId,
  delay,
  type HostId,
  type ModelName,
  type Region,
  type RequestId,
} from "rhubarbstage";
import type { HostRecord } from "@rhubarbstage/membership";
import type { PolicyInput } from "@rhubarbstage/gateway/dispatch";
import type { EngineWork, Placement } from "@rhubarbstage/policy";
import { LocalNetwork } from "@rhubarbstage/transport";
import { DemandReport } from "../../src/demand_report.ts";
import { PlacementExchange } from "../../src/placement_exchange.ts";
import { listPlacementHosts } from "../../src/placement_hosts.ts";

/** Deadline of a condition, in milliseconds; generous for a busy machine. */
const conditionTimeout = 5_000;

/** Waits until a condition holds. */
async function until(condition: () => boolean): Promise<void> {
  const deadline = performance.now() + conditionTimeout;
  while (!condition() && performance.now() < deadline) await delay(5);
  expect(condition()).toBe(true);
}

function makeRecord(host: string, region: string, replica = false): HostRecord {
  return {
    host: host as HostId,
    region: region as Region,
    availabilityZone: `${region}-a` as AvailabilityZone,
    peerAddress: "",
    httpAddress: "",
    replica,
    servesCallers: !replica,
  };
}

function makeEngineWork(id: number): EngineWork {
  return {
    server: "engine" as BackendServerId,
    id,
    milliseconds: 30,
    answers: true,
    rank: 0,
    parts: [],
  };
}

const refused: Placement = {
  type: "refused",
  retryAfter: 100,
  expectedWait: 0,
  expectedFirstToken: 0,
};

class TestHosts {
  readonly network = new LocalNetwork();
  readonly records: HostRecord[];
  readonly events = new Map<HostId, PolicyInput[]>();
  readonly exchanges = new Map<HostId, PlacementExchange>();
  readonly #stopped = new AbortController();
  /** Hosts that answer queries. */
  readonly answering = new Set<HostId>();
  /** Their answer. */
  placement = refused;

  constructor(records: readonly HostRecord[]) {
    setMaxListeners(0, this.#stopped.signal);
    this.records = [...records];
    for (const { host, region } of records) {
      const events: PolicyInput[] = [];
      this.events.set(host, events);
      this.answering.add(host);
      const exchange: PlacementExchange = new PlacementExchange({
        host,
        region,
        transport: this.network.addHost(host),
        membership: { listLiveHosts: () => this.records },
        dispatcher: {
          notify: (event) => {
            events.push(event);
            if (event.type !== "placement_requested") return;
            if (!this.answering.has(host)) return;
            const { from: to, query } = event;
            exchange.execute({
              type: "answer_placement",
              to,
              request: query.request,
              placement: this.placement,
              works: [makeEngineWork(events.length)],
            });
          },
        },
        signal: this.#stopped.signal,
      });
      this.exchanges.set(host, exchange);
    }
    for (const exchange of this.exchanges.values()) exchange.start();
  }

  count(host: string, type: PolicyInput["type"]): number {
    const events = this.events.get(host as HostId) ?? [];
    return events.filter((event) => event.type === type).length;
  }

  query(host: string, request: string, customer?: string): void {
    this.exchanges.get(host as HostId)?.execute({
      type: "request_placement",
      query: {
        request: request as RequestId,
        model: "model" as ModelName,
        promptTokens: 1,
        outputTokens: 1,
        parts: [],
        rank: 0,
        waited: 0,
        firstTokenTarget: 100,
        startTimeout: 100,
        excludedServers: [],
        suspect: false,
        ...(customer === undefined ? {} : { customer: customer as CustomerId }),
      },
    });
  }

  /** Sends a second answer of the placing host. */
  answer(to: string, request: string): void {
    this.exchanges.get("north-control" as HostId)?.execute({
      type: "answer_placement",
      to: to as HostId,
      request: request as RequestId,
      placement: refused,
      works: [],
    });
  }

  announce(host: string, work: EngineWork): void {
    this.exchanges.get(host as HostId)?.execute({
      type: "announce_work",
      work,
      isPlaced: false,
    });
  }

  stop(): void {
    this.#stopped.abort();
  }
}

const twoRegions = [
  makeRecord("north-control", "north", true),
  makeRecord("north-1", "north"),
  makeRecord("north-2", "north"),
  makeRecord("south-control", "south", true),
  makeRecord("south-1", "south"),
];

test("all hosts agree on the host that places a region's work", () => {
  const hosts = listPlacementHosts(twoRegions, "north" as Region);
  const reversed = [...twoRegions].reverse();
  expect(hosts[0]).toBe("north-control");
  expect(listPlacementHosts(reversed, "north" as Region)).toEqual(hosts);
  expect(hosts).toHaveLength(3);
});

test("a query is answered by the placing host, and no other host hears of it", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.query("north-1", "a");
  await until(() => hosts.count("south-control", "work_announced") > 0);
  expect(hosts.count("north-control", "placement_requested")).toBe(1);
  expect(hosts.count("north-1", "placement_received")).toBe(1);
  expect(hosts.count("north-1", "placement_unanswered")).toBe(0);
  expect(hosts.count("north-2", "work_announced")).toBe(0);
  // The placing host of each other region hears of the work once.
  expect(hosts.count("south-control", "work_announced")).toBe(1);
  expect(hosts.count("south-1", "work_announced")).toBe(0);
  hosts.stop();
});

test("a silent placing host is replaced, and its successor learns the running work", async () => {
  const hosts = new TestHosts(twoRegions);
  const [, successor] = listPlacementHosts(twoRegions, "north" as Region);
  const other = successor === "north-1" ? "north-2" : "north-1";
  hosts.announce(other, makeEngineWork(1));
  await until(() => hosts.count("north-control", "work_announced") === 1);
  hosts.answering.delete("north-control" as HostId);
  for (const count of [1, 2]) {
    hosts.query(other, `unanswered-${count}`);
    await until(() => hosts.count(other, "placement_unanswered") === count);
  }
  hosts.query(other, "c");
  await until(() => hosts.count(other, "placement_received") === 1);
  expect(hosts.count(successor as string, "placement_requested")).toBe(1);
  await until(() => hosts.count(successor as string, "work_announced") === 1);
  hosts.stop();
});

test("each query ends once, also when the answer comes after its timeout", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.network.partition(
    "north-control" as HostId,
    "north-1" as HostId,
  );
  hosts.query("north-1", "a");
  await until(() => hosts.count("north-1", "placement_unanswered") === 1);
  expect(hosts.count("north-control", "placement_requested")).toBe(1);
  expect(hosts.count("north-1", "placement_received")).toBe(0);
  hosts.stop();
});

const waiting: Placement = { type: "waiting", limit: 12 };

// Guards against a second choice of engines while the first is still awaited.
test("a query that waits is answered later, and not given up before", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.placement = waiting;
  hosts.query("north-1", "a", "kiosks");
  await until(() => hosts.count("north-control", "placement_due") === 1);
  expect(hosts.count("north-1", "placement_received")).toBe(0);
  hosts.answer("north-1", "a");
  await until(() => hosts.count("north-1", "placement_received") === 1);
  await delay(150);
  expect(hosts.count("north-1", "placement_unanswered")).toBe(0);
  hosts.stop();
});

// Guards against requests that are held by a host which is gone.
test("a query that waits in vain is given up, whatever limit it was told", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.placement = { type: "waiting", limit: 1e6 };
  hosts.query("north-1", "a", "kiosks");
  await until(() => hosts.count("north-1", "placement_unanswered") === 1);
  hosts.answer("north-1", "a");
  // The policy ends the work of an answer that comes too late.
  await until(() => hosts.count("north-1", "placement_received") === 1);
  hosts.stop();
});

test("queries that wait are given up when another host takes over", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.placement = waiting;
  hosts.query("north-1", "a", "kiosks");
  await until(() => hosts.count("north-control", "placement_requested") === 1);
  hosts.records.splice(0, 1);
  await until(() => hosts.count("north-1", "placement_unanswered") === 1);
  await delay(150);
  expect(hosts.count("north-1", "placement_unanswered")).toBe(1);
  hosts.stop();
});

// Guards against slots that are kept for callers who have left.
test("the placing host hears of a query whose request has ended", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.placement = waiting;
  hosts.query("north-1", "a", "kiosks");
  await until(() => hosts.count("north-control", "placement_requested") === 1);
  hosts.exchanges.get("north-1" as HostId)?.execute({
    type: "cancel_placement",
    request: "a" as RequestId,
  });
  await until(() => hosts.count("north-control", "placement_cancelled") === 1);
  await delay(150);
  expect(hosts.count("north-1", "placement_unanswered")).toBe(0);
  hosts.stop();
});

// Guards against callers of the placing host that compete with nobody.
test("the placing host asks itself if customers compete", async () => {
  const hosts = new TestHosts(twoRegions);
  hosts.query("north-control", "own", "kiosks");
  await until(() => hosts.count("north-control", "placement_received") === 1);
  expect(hosts.count("north-control", "placement_requested")).toBe(1);
  hosts.query("north-control", "unnamed");
  await until(() => hosts.count("north-control", "placement_unanswered") === 1);
  hosts.stop();
});

test("a host that relays nothing learns the demand that decides on roles", () => {
  const model = "model" as ModelName;
  const rates = new DemandReport({
    host: "leader" as HostId,
    models: () => [model],
  }).rates();
  expect([...rates.keys()].sort()).toEqual(["engine/model", "model/model"]);
  const report = new DemandReport({ host: "leader" as HostId });
  const { models } = report.toEvent(
    new Map([
      ["model/model", [9_000, 400]],
      ["engine/model", [700, 90]],
    ]),
    [],
  );
  expect(models.get(model)).toEqual({
    promptTokensPerSecond: 9_000,
    outputTokensPerSecond: 400,
    promptTimePerSecond: 700,
    streamTimePerSecond: 90,
  });
});
