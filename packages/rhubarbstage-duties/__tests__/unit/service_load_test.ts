import {
  type HostId,
  type Incarnation,
  ManualClock,
  type Region,
  type ServiceName,
} from "rhubarbstage";
import { FleetLoad } from "../../src/fleet_load.ts";
import { ServiceLoadMeter } from "../../src/service_load.ts";
import type { HostPollOutcome, ServiceLoad } from "../../src/types.ts";

const chat = "chat" as ServiceName;
const plain = "plain" as ServiceName;
const north = "north" as Region;

describe("load of an entry host", () => {
  function makeMeter() {
    const clock = new ManualClock();
    const meter = new ServiceLoadMeter({ clock });
    const play = (steps: number, run: () => void) => {
      for (let step = 0; step < steps; step += 1) {
        run();
        clock.advance(100);
      }
    };
    return { clock, meter, play };
  }

  test("counts arrivals and refusals a second", () => {
    const { meter, play } = makeMeter();
    play(200, () => {
      meter.recordArrival(plain);
      meter.recordArrival(plain);
      meter.recordRefusal(plain);
    });
    const [load] = meter.read();
    expect(load?.arrivals).toBeCloseTo(20, -1);
    expect(load?.refusals).toBeCloseTo(10, -1);
    // Guards against counters that a second holder's poll has emptied.
    expect(meter.read()).toEqual([load]);
  });

  // Guards against servers that hang and look idle.
  test("counts plain requests that run and don't end", () => {
    const { meter, play } = makeMeter();
    for (let index = 0; index < 3; index += 1) meter.recordRunning(plain, 1);
    play(200, () => {});
    expect(meter.read()[0]?.busyTime).toBeCloseTo(3_000, -2);
    for (let index = 0; index < 3; index += 1) meter.recordRunning(plain, -1);
    play(300, () => {});
    expect(meter.read()).toEqual([]);
  });

  test("passes on the engine time that the policy measured", () => {
    const { meter } = makeMeter();
    const demand = { promptTime: 900, streamTime: 4_000 };
    meter.setEngineDemand(new Map([[chat, demand]]));
    expect(meter.read()).toEqual([
      { service: chat, ...demand, arrivals: 0, refusals: 0 },
    ]);
  });
});

describe("load of the fleet", () => {
  const live = ["host-1", "host-2", "host-3"].map((host, index) => ({
    host: host as HostId,
    region: index < 2 ? north : "south" as Region,
  }));

  function makeOutcome(
    index: number,
    serviceLoad: readonly ServiceLoad[] | undefined,
    endedAt: number,
  ): HostPollOutcome {
    return {
      ...live[index]!,
      sentAt: endedAt - 10,
      endedAt,
      answer: {
        incarnation: 1 as Incarnation,
        wallTime: 0,
        bucketWidth: 100,
        last: -1,
        lastAge: 0,
        buckets: [],
        ...(serviceLoad === undefined ? {} : { serviceLoad }),
      },
    };
  }

  const load = { service: plain, busyTime: 500, arrivals: 5, refusals: 1 };

  test("is added up by the region of the host", () => {
    const fleet = new FleetLoad();
    expect(fleet.regionLoads(plain, { live, now: 0 })).toEqual([]);
    for (const index of [0, 1, 2]) {
      fleet.observe(makeOutcome(index, [load], 1_000));
    }
    expect(fleet.regionLoads(plain, { live, now: 1_500 })).toEqual([
      expect.objectContaining({
        region: "north",
        busyTime: 1_000,
        arrivals: 10,
        hosts: 2,
        unreachableHosts: 0,
      }),
      expect.objectContaining({ region: "south", busyTime: 500, hosts: 1 }),
    ]);
  });

  // Guards against a load that seems to fall because hosts don't answer, or are
  // of a build that measures none.
  test("keeps the load of hosts that don't answer, and counts them", () => {
    const fleet = new FleetLoad();
    fleet.observe(makeOutcome(0, [load], 1_000));
    fleet.observe(makeOutcome(1, undefined, 6_000));
    fleet.observe(makeOutcome(2, [load], 6_000));
    const loads = fleet.regionLoads(plain, { live, now: 6_500 });
    expect(loads).toEqual([
      expect.objectContaining({ busyTime: 500, unreachableHosts: 2 }),
      expect.objectContaining({ busyTime: 500, unreachableHosts: 0 }),
    ]);
    fleet.prune(live.slice(1));
    expect(fleet.regionLoads(plain, { live: live.slice(1), now: 6_500 })[0])
      .toMatchObject({ busyTime: 0, hosts: 1 });
  });

  // Guards against a sum that one odd answer makes useless.
  test("ignores amounts that are none", () => {
    const fleet = new FleetLoad();
    const odd = { ...load, busyTime: Number.NaN, arrivals: -5 };
    fleet.observe(makeOutcome(2, [odd], 0));
    const [, south] = fleet.regionLoads(plain, { live, now: 0 });
    expect(south).toMatchObject({ busyTime: 0, arrivals: 0, refusals: 1 });
  });
});
