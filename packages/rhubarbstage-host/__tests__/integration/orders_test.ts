import { join } from "node:path";
import {
  type BackendServerId,
  delay,
  type GroupName,
  type HostId,
  type Incarnation,
  type OrderId,
  RhubarbstageError,
} from "rhubarbstage";
import {
  type ControlCommand,
  controlQueries,
  type ControlResult,
  type ControlState,
  ControlStateMachine,
  type EngineTarget,
  OrderExecutor,
} from "@rhubarbstage/control";
import { type GroupReplica, Replica } from "@rhubarbstage/replica";
import { LocalNetwork } from "@rhubarbstage/transport";
import {
  type DrivenProcess,
  type FakeEngineRecords,
  FaultProxy,
  ProcessDriver,
} from "@rhubarbstage/test-support";
import { EngineOrderConnector } from "../../src/engine_orders.ts";

const control = "control" as GroupName;
const engineId = "engine-1" as BackendServerId;

type ControlSeat = GroupReplica<ControlState, ControlCommand, ControlResult>;

/** Three replicas of the control group, and one engine behind a proxy. */
class OrderSystem {
  readonly network = new LocalNetwork();
  readonly driver = new ProcessDriver();
  readonly proxy = new FaultProxy({ seed: 301, links: [] });
  readonly replicas: Replica[] = [];
  readonly executors: OrderExecutor[] = [];
  /** Awaited between committing an intent and writing its order. */
  afterIntent: () => Promise<void> = async () => {};
  #hosts = ["host-0", "host-1", "host-2"] as HostId[];
  #engine: DrivenProcess | undefined;
  #enginePort = 0;
  #stopped = new AbortController();
  #engineUrl = "";
  #target: EngineTarget | undefined;

  async start(checksFencing: boolean): Promise<void> {
    for (const host of this.#hosts) await this.#startReplica(host);
    await this.replicas[0]?.bootstrap({ hosts: this.#hosts });
    await this.startEngine(checksFencing);
    const target = `127.0.0.1:${this.#enginePort}`;
    const port = await this.proxy.add({ name: "engine", target });
    const address = `http://127.0.0.1:${port}`;
    this.#target = { backendServer: engineId, address };
  }

  async #startReplica(host: HostId): Promise<void> {
    const replica = await Replica.open({
      dataFolder: join(this.driver.folder, host),
      transport: this.network.addHost(host),
      groups: new Map([[control, {
        stateMachine: new ControlStateMachine(),
        queries: controlQueries,
      }]]),
      tickInterval: 20,
      seed: 301 + this.replicas.length,
    });
    const group: ControlSeat = replica.group(control);
    this.replicas.push(replica);
    this.executors.push(
      new OrderExecutor({
        group: {
          query: (...call) => group.query(...call),
          queryUncommitted: (...call) => group.queryUncommitted(...call),
          propose: async (command, options) => {
            const result = await group.propose(command, options);
            if (command.type === "intend") await this.afterIntent();
            return result;
          },
        },
        connector: new EngineOrderConnector(),
        sender: { host, incarnation: 1 as Incarnation },
        isLeader: () => group.leadership().isLeader,
        signal: this.#stopped.signal,
      }),
    );
  }

  async startEngine(checksFencing: boolean): Promise<void> {
    const options = {
      id: engineId,
      port: this.#enginePort,
      checksFencing,
      roleChangeTime: 200,
    };
    this.#engine = this.driver.start("fake_engine", {
      arguments: [JSON.stringify(options)],
    });
    const { url } = await this.#engine.ready<{ url: string }>();
    this.#engineUrl = url;
    this.#enginePort = Number(new URL(url).port);
  }

  async killEngine(): Promise<void> {
    await this.#engine?.kill();
  }

  get target(): EngineTarget {
    if (this.#target === undefined) throw new Error("No engine is running");
    return this.#target;
  }

  /** The engine without the fault proxy. */
  get direct(): EngineTarget {
    const address = `http://127.0.0.1:${this.#enginePort}`;
    return { backendServer: engineId, address };
  }

  /** Waits for a leader among the given replicas; returns its number. */
  async leader(among = [0, 1, 2]): Promise<number> {
    const endsAt = performance.now() + 15_000;
    while (performance.now() < endsAt) {
      const found = among.find((number) =>
        this.replicas[number]?.leadership(control).isLeader
      );
      if (found !== undefined) return found;
      await delay(20);
    }
    throw new Error(`No leader after 15 s\n${this.driver.eventLog}`);
  }

  executor(number: number): OrderExecutor {
    return this.executors[number] as OrderExecutor;
  }

  isolate(number: number): void {
    const own = this.#hosts[number] as HostId;
    for (const other of this.#hosts) {
      if (other === own) continue;
      this.network.partition(own, other);
      this.network.partition(other, own);
    }
  }

  /** Holds traffic to the engine once an order's intent is applied. */
  holdAfterIntent(): Promise<void> {
    const listening = new AbortController();
    return new Promise((resolve) => {
      for (const replica of this.replicas) {
        const group: ControlSeat = replica.group(control);
        group.onApplied(({ command }) => {
          if (command.type !== "intend") return;
          this.proxy.link("engine").change({ forward: { loss: "hold" } });
          listening.abort();
          resolve();
        }, { signal: listening.signal });
      }
    });
  }

  async records(): Promise<FakeEngineRecords> {
    const answer = await fetch(`${this.#engineUrl}/test/records`);
    return await answer.json() as FakeEngineRecords;
  }

  async stop(): Promise<void> {
    this.#stopped.abort();
    await this.proxy.close();
    await Promise.all(this.replicas.map((replica) => replica.close()));
    await this.driver.stop();
  }
}

function order(id: string, role: string) {
  const orderId = id as OrderId;
  const kind = "set_role" as const;
  return { orderId, backendServer: engineId, kind, argument: role };
}

describe("orders", () => {
  const system = { current: new OrderSystem() };

  async function startDelayedOrder(checksFencing: boolean) {
    const current = new OrderSystem();
    system.current = current;
    await current.start(checksFencing);
    const old = await current.leader();
    const held = current.holdAfterIntent();
    const late = current.executor(old)
      .execute(order("first", "prefill"), current.target);
    await Promise.race([held, late]);
    current.isolate(old);
    const others = [0, 1, 2].filter((number) => number !== old);
    const next = await current.leader(others);
    return { current, late, next, old };
  }

  afterEach(() => system.current.stop());

  // Guards against a former leader's late order taking effect
  // despite fencing.
  test("of a partitioned leader are refused by an engine with fencing", async () => {
    const { current, late, next } = await startDelayedOrder(true);
    const direct = current.direct;
    const report = await current.executor(next)
      .execute(order("second", "decode"), direct);
    expect(report.ending).toBe("confirmed");
    current.proxy.link("engine").heal();
    expect((await late).ending).toBe("refused");
    const { orders } = await current.records();
    expect(orders.map(({ order, result }) => [order, result])).toEqual([
      ["second", "done"],
      ["first", "stale_fencing"],
    ]);
  });

  // Guards against conflicting orders on an engine that ignores fencing
  // numbers: the late order may still arrive, so no other may be sent.
  test("do not overlap on an engine without fencing", async () => {
    const { current, late, next } = await startDelayedOrder(false);
    const direct = current.direct;
    const refusal = await current.executor(next)
      .execute(order("second", "decode"), direct).catch((error) => error);
    expect(refusal).toBeInstanceOf(RhubarbstageError);
    expect(refusal).toMatchObject({
      kind: "order_conflict",
      outcome: "not_run",
    });
    current.proxy.link("engine").heal();
    await late;
    current.network.heal();
    const [ended] = await current.executor(next).recover(() => direct);
    expect(ended?.ending ?? "confirmed").toBe("confirmed");
    await current.executor(next).waitUntilIdle();
    const third = await current.executor(next)
      .execute(order("third", "decode"), direct);
    expect(third.ending).toBe("confirmed");
    const { orders } = await current.records();
    expect(orders.map(({ order, overlapping }) => [order, overlapping]))
      .toEqual([["first", false], ["third", false]]);
  });

  // Guards against a late order that reaches a newer process than intended: the
  // engine restarts while the leader is paused before it writes the order.
  test("for an earlier process never reach a restarted engine", async () => {
    const current = new OrderSystem();
    system.current = current;
    await current.start(false);
    const leader = current.executor(await current.leader());
    let resume = () => {};
    const paused = new Promise<void>((reached) => {
      current.afterIntent = () => {
        reached();
        return new Promise((resolve) => resume = resolve);
      };
    });
    const late = leader.execute(order("first", "prefill"), current.direct);
    await Promise.race([paused, late]);
    await current.killEngine();
    await current.startEngine(false);
    current.afterIntent = async () => {};
    const report = await leader
      .execute(order("second", "decode"), current.direct);
    expect(report.ending).toBe("confirmed");
    resume();
    expect((await late).ending).toBe("not_sent");
    const { orders } = await current.records();
    expect(orders.map(({ order }) => order)).toEqual(["second"]);
  });
});
