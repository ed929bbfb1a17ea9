import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { delay } from "rhubarbstage";
import { FaultProxy } from "../../src/mod.ts";

/** Starts a server that echoes each byte. */
async function listenEcho(): Promise<Server> {
  const server = createServer((socket) => socket.pipe(socket));
  server.on("connection", (socket) => socket.on("error", () => {}));
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

describe("FaultProxy", () => {
  let echo: Server;
  let proxy: FaultProxy;
  let port = 0;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    echo = await listenEcho();
    const target = `127.0.0.1:${(echo.address() as AddressInfo).port}`;
    proxy = new FaultProxy({ seed: 1, links: [{ name: "echo", target }] });
    port = (await proxy.listen()).get("echo") as number;
  });

  afterEach(async () => {
    for (const socket of sockets.splice(0)) socket.destroy();
    await proxy.close();
    echo.close();
  });

  async function open() {
    const socket = connect(port, "127.0.0.1");
    const state = { text: "", closed: false };
    socket.on("data", (bytes) => state.text += bytes);
    socket.on("error", () => {});
    socket.on("close", () => state.closed = true);
    await once(socket, "connect");
    sockets.push(socket);
    return { socket, state };
  }

  async function until(check: () => boolean): Promise<void> {
    const endsAt = performance.now() + 5_000;
    while (!check()) {
      if (performance.now() > endsAt) throw new Error("Timed out after 5 s");
      await delay(5);
    }
  }

  // Guards against a proxy that adds no fault, so that tests pass without one.
  test("delays, throttles and keeps the order of a stream", async () => {
    const { socket, state } = await open();
    proxy.link("echo").change({
      forward: { delay: 100, jitter: 20 },
      backward: { bytesPerSecond: 1_000 },
    });
    const startedAt = performance.now();
    for (let number = 0; number < 10; number += 1) socket.write(`${number}`);
    await until(() => state.text.length === 10);
    expect(performance.now() - startedAt).toBeGreaterThanOrEqual(99);
    socket.write("x".repeat(200));
    const sentAt = performance.now();
    await until(() => state.text.length === 210);
    expect(performance.now() - sentAt).toBeGreaterThanOrEqual(290);
    expect(state.text.slice(0, 10)).toBe("0123456789");
  });

  // Guards against a partition that endpoints detect or that drops bytes TCP
  // would retransmit.
  test("holds one direction and delivers after the fault", async () => {
    const { socket, state } = await open();
    proxy.link("echo").change({ backward: { loss: "hold" } });
    socket.write("late");
    await delay(100);
    expect(state).toEqual({ text: "", closed: false });
    expect(proxy.records.echo?.forwardBytes).toBe(4);
    proxy.link("echo").heal();
    await until(() => state.text === "late");
  });

  // Guards against a stream that continues with a gap after lost bytes.
  test("resets connections that lost bytes when the loss ends", async () => {
    const { socket, state } = await open();
    proxy.link("echo").change({ forward: { loss: "discard" } });
    socket.write("lost");
    await delay(50);
    expect(state).toEqual({ text: "", closed: false });
    proxy.link("echo").heal();
    await until(() => state.closed);
    expect(state.text).toBe("");
  });

  // Guards against a proxy that never reorders bytes across connections.
  test("reorders bytes of different connections", async () => {
    proxy.link("echo").change({ reorder: 200 });
    const opened = await Promise.all(Array.from({ length: 6 }, open));
    const order: number[] = [];
    opened.forEach(({ socket }, number) => {
      socket.once("data", () => order.push(number));
      socket.write("x");
    });
    await until(() => order.length === 6);
    expect(order).not.toEqual([0, 1, 2, 3, 4, 5]);
  });

  // Guards against faults that cannot be changed from another process.
  test("is controlled over HTTP", async () => {
    const control = await proxy.control();
    const post = (path: string, body: unknown = {}) =>
      fetch(`${control}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
      });
    const { state } = await open();
    await post("/links/echo/cut");
    await until(() => state.closed);
    await post("/links/echo/faults", { refuse: true });
    await expect(open().then(({ socket }) => once(socket, "close")))
      .rejects.toThrow("ECONNRESET");
    await post("/links/echo/heal");
    expect(await (await fetch(`${control}/links`)).json()).toMatchObject({
      echo: { faults: { refuse: false } },
    });
  });
});
