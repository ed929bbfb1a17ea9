import type {
  AvailabilityZone,
  FencingNumber,
  HostId,
  Incarnation,
  Region,
  ServiceName,
} from "rhubarbstage";
import {
  type ObservedServer,
  ScaleController,
  type ScaledService,
} from "../../src/mod.ts";
import { ScaledFleet } from "../../src/scale_controller.ts";
import {
  DutyHolder,
  DutyTerm,
  type DutyWork,
  type HostPollOutcome,
  HostPolls,
  type PlatformCallResult,
  PlatformCalls,
  type PolledHost,
  type ServerOrder,
} from "../../src/types.ts";

const service = "chat" as ServiceName;
const region = "north" as Region;
const zones = ["north-a", "north-b"].map((name) => ({
  availabilityZone: name as AvailabilityZone,
  region,
}));
const host = { host: "host-1" as HostId, region };

class FakeTerm extends DutyTerm {
  override readonly duty = "scaling";
  override readonly signal: AbortSignal;
  mayActNow = true;

  constructor(
    override readonly fence: FencingNumber,
    readonly controller = new AbortController(),
  ) {
    super();
    this.signal = controller.signal;
  }

  override mayAct(): boolean {
    return this.mayActNow && !this.signal.aborted;
  }
}

class FakeHolder extends DutyHolder {
  #work: DutyWork | undefined;

  override whenHeld(_duty: string, work: DutyWork): void {
    this.#work = work;
  }

  begin(fence: number): FakeTerm {
    const term = new FakeTerm(fence as FencingNumber);
    void this.#work?.(term);
    return term;
  }
}

class FakeCalls extends PlatformCalls {
  readonly sent: { order: ServerOrder; fence: number; at: number }[] = [];
  result: PlatformCallResult = { type: "accepted" };

  override reportUsage(): Promise<PlatformCallResult> {
    throw new Error("No usage is reported");
  }

  override orderServers(order: ServerOrder, term: DutyTerm) {
    this.sent.push({ order, fence: term.fence, at: Date.now() });
    return Promise.resolve(this.result);
  }
}

/** One host that answers each second with the same load. */
class FakePolls extends HostPolls {
  answers = true;

  override onOutcome(
    listener: (outcome: HostPollOutcome) => void,
    { signal }: { readonly signal: AbortSignal },
  ): void {
    const timer = setInterval(() => {
      if (this.answers) listener(this.#outcome());
    }, 900);
    signal.addEventListener("abort", () => clearInterval(timer));
  }

  override hosts(): readonly PolledHost[] {
    return [host];
  }

  #outcome(): HostPollOutcome {
    const load = { service, promptTime: 2_000, arrivals: 9, refusals: 0 };
    return {
      ...host,
      sentAt: performance.now(),
      endedAt: performance.now(),
      answer: {
        incarnation: 1 as Incarnation,
        wallTime: 0,
        bucketWidth: 100,
        last: -1,
        lastAge: 0,
        buckets: [],
        serviceLoad: [load],
      },
    };
  }
}

class FakeFleet extends ScaledFleet {
  servers: ObservedServer[] = zones.flatMap(({ availabilityZone }) =>
    Array.from({ length: 9 }, () => ({
      availabilityZone,
      kind: "on_demand" as const,
      state: "serving" as const,
    }))
  );

  override observe(): readonly ScaledService[] {
    const scaling = { min: 1, max: 12, bootTime: 4_000, zonePrices: new Map() };
    const { servers } = this;
    return [{ service, scaling, slots: 12, zones, servers, stateAge: 100 }];
  }
}

describe("scale controller", () => {
  beforeEach(() => jest.useFakeTimers());
  afterEach(() => jest.useRealTimers());

  function start() {
    const parts = {
      holder: new FakeHolder(),
      calls: new FakeCalls(),
      polls: new FakePolls(),
      fleet: new FakeFleet(),
      events: [] as Readonly<Record<string, string | number>>[],
      stop: new AbortController(),
    };
    new ScaleController({
      ...parts,
      signal: parts.stop.signal,
      onEvent: (_event, fields) => parts.events.push(fields),
    }).start();
    return parts;
  }

  test("orders what the load of the hosts needs, with its term", async () => {
    const { holder, calls, events } = start();
    const term = holder.begin(7);
    await jest.advanceTimersByTimeAsync(10_500);
    expect(calls.sent).toEqual([]);
    await jest.advanceTimersByTimeAsync(10_000);
    expect(calls.sent.length).toBeGreaterThan(0);
    expect(calls.sent[0]).toMatchObject({ fence: 7, order: { spot: false } });
    const orders = events.filter((fields) => "reason" in fields);
    expect(orders[0]).toMatchObject({ reason: "lower", result: "accepted" });
    term.controller.abort();
  });

  // Guards against a plan that outlives its term, and orders of a new holder
  // that are based on what another one remembered.
  test("starts anew in each term", async () => {
    const { holder, calls } = start();
    const first = holder.begin(7);
    await jest.advanceTimersByTimeAsync(20_000);
    first.controller.abort();
    const count = calls.sent.length;
    await jest.advanceTimersByTimeAsync(20_000);
    expect(calls.sent.length).toBe(count);
    const second = holder.begin(8);
    await jest.advanceTimersByTimeAsync(10_500);
    expect(calls.sent.length).toBe(count);
    await jest.advanceTimersByTimeAsync(10_000);
    expect(calls.sent.at(-1)?.fence).toBe(8);
    second.controller.abort();
  });

  test.each<
    [string, (parts: ReturnType<typeof start>, term: FakeTerm) => void]
  >(
    [
      ["the lease is not proved", (_, term) => term.mayActNow = false],
      ["the hosts don't answer", ({ polls }) => polls.answers = false],
    ],
  )("lowers nothing while %s", async (_name, change) => {
    const parts = start();
    const term = parts.holder.begin(7);
    await jest.advanceTimersByTimeAsync(9_000);
    change(parts, term);
    await jest.advanceTimersByTimeAsync(30_000);
    expect(parts.calls.sent).toEqual([]);
    term.controller.abort();
  });

  test("repeats an order without a clear answer exactly", async () => {
    const { holder, calls, fleet } = start();
    calls.result = { type: "unclear", message: "timeout" };
    fleet.servers = fleet.servers.slice(-2);
    const term = holder.begin(7);
    await jest.advanceTimersByTimeAsync(14_500);
    const [first, ...others] = calls.sent.filter(({ order }) =>
      order.availabilityZone === calls.sent[0]?.order.availabilityZone
    );
    expect(others.length).toBeGreaterThan(0);
    for (const { order, at } of others) {
      expect(order).toEqual(first?.order);
      expect(at - (first?.at ?? 0)).toBeGreaterThanOrEqual(2_000);
    }
    term.controller.abort();
  });
});
