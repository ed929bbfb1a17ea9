import type { HostRecord, ServerRecord } from "@rhubarbstage/membership";
import type { RelayService } from "@rhubarbstage/relay";
import {
  type AvailabilityZone,
  ManualClock,
  RhubarbstageError,
  type ServiceName,
} from "rhubarbstage";
import { HostLoad } from "../../src/host_load.ts";
import { MembershipFleet } from "../../src/scaled_fleet.ts";

const chat = "chat" as ServiceName;
const plain = "plain" as ServiceName;
const zonePrices = new Map([
  ["north-a" as AvailabilityZone, 1],
  ["north-b" as AvailabilityZone, 0.8],
  ["unknown-a" as AvailabilityZone, 0.5],
]);
const scaling = { min: 1, max: 9, bootTime: 4_000, zonePrices };

function makeService(changes: object): RelayService {
  return { healthPath: "/", maxConnections: 40, ...changes } as RelayService;
}

const services = [
  makeService({ name: chat, engine: { slots: 12 }, scaling }),
  makeService({ name: plain, scaling: { ...scaling, zonePrices: new Map() } }),
  makeService({ name: "fixed" }),
];

function makeServer(changes: object): ServerRecord {
  return {
    models: ["chat"],
    services: [],
    region: "north",
    availabilityZone: "north-a",
    state: "serving",
    leaving: false,
    role: "prefill",
    capacity: 6,
    ...changes,
  } as unknown as ServerRecord;
}

function makeFleet(
  views: readonly { record: ServerRecord; evidenceAge: number }[],
) {
  const hosts = ["north-a", "north-b", "south-a"].map((zone) => ({
    availabilityZone: zone,
    region: zone.slice(0, -2),
  }));
  return new MembershipFleet({
    routeTable: () => ({ services }),
    membership: {
      listServers: () => views,
      listLiveHosts: () => hosts as HostRecord[],
    },
  });
}

describe("fleet of a relay host", () => {
  test("lists the scaled services with their slots", () => {
    const plainServer = { models: [], services: ["plain"], capacity: 6 };
    const fleet = makeFleet([
      { record: makeServer(plainServer), evidenceAge: 0 },
    ]);
    expect(fleet.observe()).toEqual([
      expect.objectContaining({ service: chat, scaling, slots: 12 }),
      expect.objectContaining({ service: plain, slots: 6 }),
    ]);
  });

  // Guards against orders in zones whose region is not known.
  test("scales in zones with a price or servers", () => {
    const record = makeServer({
      region: "south",
      availabilityZone: "south-a",
    });
    const [service] = makeFleet([{ record, evidenceAge: 0 }]).observe();
    expect(service?.zones).toEqual([
      { availabilityZone: "north-a", region: "north" },
      { availabilityZone: "north-b", region: "north" },
      { availabilityZone: "south-a", region: "south" },
    ]);
  });

  test("tells spot servers and those that are on their way out", () => {
    const records = [
      makeServer({}),
      makeServer({ spot: true, role: "decode" }),
      makeServer({ spot: true, state: "draining" }),
      makeServer({ leaving: true, role: "mixed" }),
    ];
    const views = records.map((record, index) => ({
      record,
      evidenceAge: index * 1_000,
    }));
    const [service] = makeFleet(views).observe();
    expect(service?.servers).toMatchObject([
      { kind: "on_demand", state: "serving", stage: "prefill" },
      { kind: "spot", state: "serving", stage: "decode" },
      { kind: "spot", state: "draining" },
      { kind: "on_demand", state: "draining" },
    ]);
    expect(service?.servers[3]).not.toHaveProperty("stage");
    expect(service?.stateAge).toBe(2_000);
  });
});

describe("load of a relay host", () => {
  // Guards against refusals by customers' limits that look like few servers.
  test("counts only refusals that more servers would prevent", () => {
    const load = new HostLoad({ clock: new ManualClock() });
    load.setRouteTable({ services });
    const kinds = ["overloaded", "limit_exceeded", "backend_failed"] as const;
    for (const kind of kinds) {
      load.recordBegun({ service: plain });
      load.recordEnded({ service: plain }, new RhubarbstageError(kind));
    }
    load.recordBegun({ service: "fixed" as ServiceName });
    const [read, ...others] = load.read();
    expect(others).toEqual([]);
    expect(read).toMatchObject({
      service: plain,
      arrivals: 1.5,
      refusals: 0.5,
    });
  });
});
