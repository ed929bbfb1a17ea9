import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { type EngineOrder, openOrderConnection } from "@rhubarbstage/engine";
import { FakeEngine, type FakeEngineOptions } from "@rhubarbstage/test-support";
import type { BackendServerId, FencingNumber, OrderId } from "rhubarbstage";

const id = "engine-1" as BackendServerId;

describe("order connection", () => {
  let engine: FakeEngine;
  let proxy: Server | undefined;
  let url: string;

  async function start(options: Partial<FakeEngineOptions> = {}) {
    engine = new FakeEngine({ roleChangeTime: 100, ...options });
    url = await engine.listen();
  }

  afterEach(async () => {
    await engine.close();
    proxy?.close();
    proxy = undefined;
  });

  function order(fencing: number, fields: Partial<EngineOrder> = {}) {
    return {
      order: `order-${fencing}` as OrderId,
      kind: "set_role",
      argument: "decode",
      fencing: fencing as FencingNumber,
      incarnation: engine.incarnation,
      ...fields,
    } as EngineOrder;
  }

  async function send(fencing: number, fields: Partial<EngineOrder> = {}) {
    const connection = await openOrderConnection({ id, url });
    return await connection.send(order(fencing, fields));
  }

  // Guards against orders without effect or whose completion is not reported.
  test("carries out an order and returns the new status", async () => {
    await start();
    expect(await send(5)).toMatchObject({
      type: "done",
      status: { role: "decode", lastOrder: { fencing: 5, state: "done" } },
    });
  });

  // Guards against stale orders on engines that check them.
  test("returns a refusal for a stale fencing number or another incarnation", async () => {
    await start();
    await send(5);
    const other = { order: "other" as OrderId };
    expect(await send(5, other)).toMatchObject({ reason: "stale_fencing" });
    expect(await send(4)).toMatchObject({ reason: "stale_fencing" });
    expect(await send(6, { incarnation: 1 as never }))
      .toMatchObject({ reason: "wrong_incarnation" });
  });

  // Guards against a new leader that cannot finish an open order.
  test("returns the first answer when an order is repeated", async () => {
    await start();
    const answers = await Promise.all([send(5), send(5)]);
    expect(answers.map(({ type }) => type)).toEqual(["done", "done"]);
    expect(engine.records.orders.map(({ result }) => result).toSorted())
      .toEqual(["done", "repeated"]);
  });

  // Guards against a fake that hides conflicts on engines without fencing.
  test("records overlapping orders of an engine without fencing", async () => {
    await start({ checksFencing: false });
    await Promise.all([send(5), send(4)]);
    const { orders } = engine.records;
    expect(orders.map(({ overlapping }) => overlapping)).toEqual([false, true]);
  });

  // Guards against an order that reaches a process that was started later.
  test("never opens a second connection", async () => {
    await start();
    const target = Number(new URL(url).port);
    const sockets: Socket[] = [];
    const server = proxy = createServer((socket) => {
      const upstream = connect(target, "127.0.0.1");
      socket.pipe(upstream).pipe(socket);
      for (const end of [socket, upstream]) end.on("error", () => {});
      sockets.push(socket);
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = server.address() as AddressInfo;
    const connection = await openOrderConnection({
      id,
      url: `http://127.0.0.1:${port}`,
    });
    sockets[0]?.destroy();
    await new Promise((resolve) => setTimeout(resolve, 50));
    await expect(connection.send(order(5))).rejects.toMatchObject({
      written: false,
      outcome: "not_run",
    });
    expect(sockets).toHaveLength(1);
    expect(engine.records.orders).toEqual([]);
  });

  // Guards against two orders over one connection.
  test("carries one order only", async () => {
    await start();
    const connection = await openOrderConnection({ id, url });
    await connection.send(order(5));
    await expect(connection.send(order(6))).rejects.toMatchObject({
      kind: "order_conflict",
      written: false,
    });
    expect(engine.records.orders).toHaveLength(1);
  });
});
