import fc from "fast-check";
import {
  type BackendServerId,
  type FencingNumber,
  type HostId,
  type Incarnation,
  ManualClock,
  type OrderId,
  RhubarbstageError,
} from "rhubarbstage";
import {
  type ControlCommand,
  ControlStateMachine,
  type EngineStatus,
  type HostProcess,
  type Order,
  OrderConnection,
  OrderConnector,
  OrderExecutor,
  type OrderIntent,
  type OrderSendResult,
} from "../../src/mod.ts";
import { flakyControlGroup } from "./flaky_group.ts";

const engineId = "engine-1" as BackendServerId;
const target = { backendServer: engineId, address: "http://127.0.0.1:1" };

function processOf(host: string): HostProcess {
  return { host: host as HostId, incarnation: 1 as Incarnation };
}

function orderOf(id: string, argument = id): Order {
  const orderId = id as OrderId;
  return { orderId, backendServer: engineId, kind: "set_role", argument };
}

/** An engine that applies every order that reaches its current process. */
class TestEngine extends OrderConnector {
  incarnation = 1;
  applied: string[] = [];
  fencingNumbers: number[] = [];
  highest = 0;
  loseAnswers = false;
  /** Whether the status reports the last order. */
  reports = false;
  /** Runs before a connection writes, as a pause of the sender would. */
  beforeWrite: (intent: OrderIntent) => Promise<void> = async () => {};

  constructor(readonly honoursFencing: boolean) {
    super();
  }

  override open(): Promise<OrderConnection> {
    return Promise.resolve(new TestConnection(this));
  }

  receive(intent: OrderIntent): OrderSendResult {
    if (this.honoursFencing && intent.fencingNumber < this.highest) {
      return { type: "refused", message: "Stale fencing number" };
    }
    this.highest = Math.max(this.highest, intent.fencingNumber);
    this.applied.push(intent.argument);
    this.fencingNumbers.push(intent.fencingNumber);
    if (this.loseAnswers) return { type: "unknown", message: "Lost" };
    return { type: "confirmed" };
  }
}

class TestConnection extends OrderConnection {
  #engine: TestEngine;
  #incarnation: number;

  constructor(engine: TestEngine) {
    super();
    this.#engine = engine;
    this.#incarnation = engine.incarnation;
  }

  override status(): Promise<EngineStatus> {
    const incarnation = this.#incarnation as Incarnation;
    const { honoursFencing, reports, highest } = this.#engine;
    const fencingNumber = highest as FencingNumber;
    return Promise.resolve({
      backendServer: engineId,
      incarnation,
      honoursFencing,
      ...reports ? { lastOrder: { fencingNumber, state: "done" } } : {},
    });
  }

  override async send(intent: OrderIntent): Promise<OrderSendResult> {
    await this.#engine.beforeWrite(intent);
    if (this.#incarnation !== this.#engine.incarnation) {
      return { type: "not_sent", message: "The connection was lost" };
    }
    return this.#engine.receive(intent);
  }

  override close(): void {}
}

function setUp(honoursFencing: boolean) {
  const engine = new TestEngine(honoursFencing);
  const group = flakyControlGroup();
  const clock = new ManualClock();
  const leading = new Set(["old", "new"]);
  const executorOf = (host: string) =>
    new OrderExecutor({
      group,
      connector: engine,
      sender: processOf(host),
      isLeader: () => leading.has(host),
      clock,
    });
  const old = executorOf("old");
  const next = executorOf("new");
  return { engine, group, clock, leading, old, next };
}

/** A pause that the test ends. */
function pausePoint() {
  let resume = () => {};
  let reach = () => {};
  const resumed = new Promise<void>((resolve) => resume = resolve);
  const reached = new Promise<void>((resolve) => reach = resolve);
  const wait = () => {
    reach();
    return resumed;
  };
  return { wait, reached, resume };
}

describe("OrderExecutor", () => {
  // Guards against a late order of a paused leader that undoes a newer one.
  test("fences a leader that was paused before its write", async () => {
    const { engine, old, next } = setUp(true);
    const pause = pausePoint();
    engine.beforeWrite = ({ argument }) =>
      argument === "first" ? pause.wait() : Promise.resolve();
    const late = old.execute(orderOf("first"), target);
    await pause.reached;
    const report = await next.execute(orderOf("second"), target);
    expect(report.ending).toBe("confirmed");
    pause.resume();
    expect((await late).ending).toBe("refused");
    expect(engine.applied).toEqual(["second"]);
  });

  // Guards against conflicting orders: the paused leader's may still arrive.
  test("refuses a second order to an engine that ignores fencing numbers", async () => {
    const { engine, old, next } = setUp(false);
    const pause = pausePoint();
    engine.beforeWrite = () => pause.wait();
    const late = old.execute(orderOf("first"), target);
    await pause.reached;
    const refusal = next.execute(orderOf("second"), target);
    await expect(refusal).rejects.toMatchObject({
      kind: "order_conflict",
      outcome: "not_run",
    });
    expect(await next.recover(() => target)).toMatchObject([
      { message: "The engine ignores fencing numbers" },
    ]);
    pause.resume();
    await late;
    await old.waitUntilIdle();
    expect(engine.applied).toEqual(["first"]);
    await next.execute(orderOf("third"), target);
    expect(engine.applied).toEqual(["first", "third"]);
  });

  // Guards against an order that reaches a process it was not meant for.
  test("writes no order to a newer process than the intended one", async () => {
    const { engine, old, next } = setUp(false);
    const pause = pausePoint();
    engine.beforeWrite = ({ argument }) =>
      argument === "first" ? pause.wait() : Promise.resolve();
    const late = old.execute(orderOf("first"), target);
    await pause.reached;
    engine.incarnation = 2;
    await next.execute(orderOf("second"), target);
    pause.resume();
    expect((await late).ending).toBe("not_sent");
    expect(engine.applied).toEqual(["second"]);
  });

  // Guards against a write long after the intent, or an engine blocked without
  // one.
  test("writes nothing after the write window or the leadership ended", async () => {
    for (const cause of ["window", "leadership"]) {
      const { engine, group, clock, leading, old, next } = setUp(false);
      const propose = group.propose.bind(group);
      group.propose = async (command) => {
        const result = await propose(command);
        if (command.type !== "intend" || command.sender.host !== "old") {
          return result;
        }
        if (cause === "window") clock.advance(5_001);
        else leading.delete("old");
        return result;
      };
      const report = await old.execute(orderOf("first"), target);
      expect(report.ending).toBe("not_sent");
      await old.waitUntilIdle();
      expect(engine.applied).toEqual([]);
      await next.execute(orderOf("second"), target);
      expect(engine.applied).toEqual(["second"]);
    }
  });

  // Guards against an order lost with its leader or repeated under a new
  // number.
  test("finishes an earlier leader's order under its fencing number", async () => {
    const { engine, old, next } = setUp(true);
    engine.loseAnswers = true;
    const report = await old.execute(orderOf("first"), target);
    expect(report.ending).toBeUndefined();
    engine.loseAnswers = false;
    const [finished] = await next.recover(() => target);
    expect(finished?.ending).toBe("confirmed");
    expect(new Set(engine.fencingNumbers).size).toBe(1);
    await next.waitUntilIdle();
    expect(await next.openOrders()).toEqual([]);
  });

  // Guards against a blocked engine or a repeated order after only its answer
  // was lost.
  test("ends an order that the engine reports as done", async () => {
    for (const honoursFencing of [true, false]) {
      const { engine, old, next } = setUp(honoursFencing);
      engine.loseAnswers = true;
      engine.reports = true;
      await old.execute(orderOf("first"), target);
      const [ended] = await next.recover(() => target);
      expect(ended?.ending).toBe("confirmed");
      await next.waitUntilIdle();
      expect(await next.openOrders()).toEqual([]);
      expect(engine.applied).toEqual(["first"]);
    }
  });

  // Guards against an engine left blocked by a crash during a change.
  test("ends the order of an engine that restarted", async () => {
    for (const evidence of ["announcement", "status"]) {
      const { engine, old, next } = setUp(false);
      engine.loseAnswers = true;
      await old.execute(orderOf("first"), target);
      engine.incarnation = 2;
      const report = { backendServer: engineId, incarnation: 2 as Incarnation };
      if (evidence === "announcement") await next.observeEngine(report);
      else await next.recover(() => target);
      expect(await next.openOrders()).toEqual([]);
    }
  });

  // Guards against an engine blocked by a refused intent's copy committed
  // later.
  test("withdraws an order whose intent was refused", async () => {
    const { engine, group, old, next } = setUp(false);
    engine.loseAnswers = true;
    await old.execute(orderOf("first"), target);
    const refused = next.execute(orderOf("second"), target);
    await expect(refused).rejects.toThrow("has not ended");
    await next.waitUntilIdle();
    await next.endByOperator("first" as OrderId);
    await group.propose({
      type: "intend",
      order: orderOf("second"),
      incarnation: 1 as Incarnation,
      honoursFencing: false,
      sender: processOf("new"),
    });
    expect(await next.openOrders()).toEqual([]);
  });

  // Guards against orders from a host that does not lead.
  test("sends nothing from a host that does not lead", async () => {
    const { engine, leading, old } = setUp(true);
    leading.delete("old");
    const refusal = await old.execute(orderOf("first"), target)
      .catch((error) => error);
    expect(refusal).toBeInstanceOf(RhubarbstageError);
    expect(refusal.outcome).toBe("not_run");
    expect(engine.applied).toEqual([]);
  });
});

const orderCommands = fc.array(
  fc.record({
    type: fc.constantFrom("intend", "intend", "end", "observe", "take_over"),
    id: fc.constantFrom("o1", "o2", "o3", "o4", "o5"),
    host: fc.constantFrom("old", "new"),
    ending: fc.constantFrom(
      "confirmed" as const,
      "not_sent" as const,
      "refused" as const,
    ),
    age: fc.constantFrom(0, 0, 0, 0, 0, 0, 1, -1),
    honours: fc.constantFrom(true, false, false),
  }),
  { maxLength: 30 },
);

describe("intents", () => {
  // Guards against two orders that can both take effect in one engine process.
  test("allow at most one live order for each engine that ignores fencing numbers", () => {
    fc.assert(
      fc.property(orderCommands, (history) => {
        const machine = new ControlStateMachine();
        const state = machine.initial();
        /** The naive model: orders that their sender may still write. */
        const live = new Map<string, { host: string; incarnation: number }>();
        let newest = 0;
        for (const [index, step] of history.entries()) {
          const { id, host } = step;
          const incarnation = Math.max(1, newest + step.age);
          const command = commandOf({ ...step, incarnation });
          const answer = machine.apply(state, command, index + 1);
          const result = answer.type === "intend" ? answer.result : undefined;
          const isNew = result?.type === "accepted" &&
            result.intent.fencingNumber === index + 1;
          if (isNew) {
            expect(incarnation).toBeGreaterThanOrEqual(newest);
            live.set(id, { host, incarnation });
          }
          if (isNew || result?.type === "conflict" || step.type === "observe") {
            newest = Math.max(newest, incarnation);
          }
          const stated = live.get(id)?.host === host ||
            step.ending !== "not_sent";
          if (step.type === "end" && stated) live.delete(id);
          for (const [other, order] of live) {
            if (order.incarnation < newest) live.delete(other);
          }
          const ignoring = [...live.keys()].filter((other) =>
            state.orders.get(other as OrderId)?.honoursFencing === false
          );
          expect(ignoring.length).toBeLessThanOrEqual(1);
        }
      }),
      { seed: 13, numRuns: 1_000 },
    );
  });

  function commandOf(step: {
    type: string;
    id: string;
    host: string;
    ending: "confirmed" | "not_sent" | "refused";
    incarnation: number;
    honours: boolean;
  }): ControlCommand {
    const orderId = step.id as OrderId;
    const incarnation = step.incarnation as Incarnation;
    const from = processOf(step.host);
    switch (step.type) {
      case "intend":
        return {
          type: "intend",
          order: orderOf(step.id),
          incarnation,
          honoursFencing: step.honours,
          sender: from,
        };
      case "end":
        return {
          type: "end_order",
          orderId,
          ending: step.ending,
          sender: from,
        };
      case "observe":
        return {
          type: "observe_engine",
          backendServer: engineId,
          incarnation,
        };
      default:
        return { type: "take_over", orderId, sender: from };
    }
  }
});
