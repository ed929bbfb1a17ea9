import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { certificates } from "./certificates.ts";
import {
  compareTimestamps,
  delay,
  HybridLogicalClock,
  ManualClock,
  RhubarbstageError,
} from "rhubarbstage";
import type { HostId, Timestamp } from "rhubarbstage";
import { WebSocket } from "ws";
import {
  messageType,
  type PeerAddress,
  PeerTransport,
  type PeerTransportOptions,
  requestType,
  TransportError,
} from "../../src/mod.ts";

const token = "a token shared by all hosts";
const first = "first" as HostId;
const second = "second" as HostId;
const note = messageType<unknown>("note");
const echo = requestType<unknown, unknown>("echo");
const transports: PeerTransport[] = [];

async function listen(
  host: HostId,
  options: Partial<PeerTransportOptions> = {},
): Promise<PeerTransport> {
  const transport = await PeerTransport.listen({
    host,
    address: "127.0.0.1",
    port: 0,
    token,
    heartbeatInterval: 50,
    handshakeTimeout: 500,
    minBackoff: 20,
    maxBackoff: 60,
    ...options,
  });
  transports.push(transport);
  return transport;
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let round = 0; round < 400 && !condition(); round += 1) await delay(10);
  expect(condition()).toBe(true);
}

afterEach(async () => {
  for (const transport of transports.splice(0)) await transport.close();
});

describe("PeerTransport", () => {
  // Guards against strangers that fill the memory of a host with a message that
  // never ends.
  test("keeps no long message of a peer that is not authenticated", async () => {
    const { address } = await listen(first, { handshakeTimeout: 50_000 });
    const socket = new WebSocket(`ws://${address.address}:${address.port}/`);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => {});
    socket.once(
      "open",
      () => socket.send(Buffer.alloc(1_048_576), { fin: false }),
    );
    await closed;
  });

  // Guards against lost or mismatched answers and a second link.
  test("uses one link for requests and messages in both directions", async () => {
    const left = await listen(first);
    const right = await listen(second);
    left.setAddress(second, right.address);
    right.setAddress(first, left.address);
    const notes: unknown[] = [];
    left.onMessage(note, (body) => notes.push(body));
    right.onRequest(echo, async (body) => {
      await delay(Number(body) % 7);
      if (body === 5) throw new RhubarbstageError("order_conflict");
      return body;
    });
    left.onRequest(echo, (body) => body);
    const bodies = Array.from({ length: 50 }, (_, number) => number);
    const answers = await Promise.all(
      bodies.map((body) =>
        left.request(echo, { to: second, body }).catch((error) => error.kind)
      ),
    );
    expect(answers).toEqual(
      bodies.map((body) => body === 5 ? "order_conflict" : body),
    );
    await Promise.all([
      left.request(echo, { to: second, body: 1 }),
      right.request(echo, { to: first, body: new Map([["a", 1]]) }),
    ]);
    right.send(note, { to: first, body: "hello" });
    await waitUntil(() => notes.length === 1);
    expect(left.peers().length).toBe(1);
    expect(right.peers().length).toBe(1);
    const sent = left.counters().byName.get("echo");
    const received = right.counters().byName.get("echo");
    expect(received?.receivedBytes).toBe(sent?.sentBytes);
    expect(left.counters().handlerErrors).toBe(0);
  });

  // Guards against effects listed before causes if a clock leads,
  // and against a wrong clock that advances those of all hosts.
  test("follows a sender's clock only if its lead is below maxClockLead", async () => {
    const makeClock = (lead: number) =>
      new HybridLogicalClock(new ManualClock(Date.now() + lead));
    const ahead = makeClock(20_000);
    const behind = makeClock(-20_000);
    const wrongClock = makeClock(3_600_000);
    const left = await listen(first, { clock: ahead });
    const right = await listen(second, { clock: behind });
    const wrongHost = await listen("third" as HostId, { clock: wrongClock });
    left.setAddress(second, right.address);
    wrongHost.setAddress(second, right.address);
    const seen: Timestamp[] = [];
    right.onRequest(echo, (body) => {
      seen.push(behind.next());
      return body;
    });
    const cause = ahead.next();
    await left.request(echo, { to: second, body: 1 });
    expect(compareTimestamps(cause, seen[0] as Timestamp)).toBeLessThan(0);
    expect(compareTimestamps(seen[0] as Timestamp, ahead.next()))
      .toBeLessThan(0);
    expect(await wrongHost.request(echo, { to: second, body: 2 })).toBe(2);
    expect(seen[1]?.wall).toBe(cause.wall);
  });

  // Guards against each end keeping a different link after simultaneous dials.
  test("keeps one link when both ends dial simultaneously", async () => {
    const left = await listen(first);
    const right = await listen(second);
    left.setAddress(second, right.address);
    right.setAddress(first, left.address);
    left.onRequest(echo, (body) => body);
    right.onRequest(echo, (body) => body);
    await Promise.allSettled([
      left.request(echo, { to: second, body: 1 }),
      right.request(echo, { to: first, body: 1 }),
    ]);
    await delay(50);
    expect(await left.request(echo, { to: second, body: 2 })).toBe(2);
    expect(await right.request(echo, { to: first, body: 3 })).toBe(3);
    expect(left.peers().length).toBe(1);
  });

  // Guards against requests that end with the link that simultaneous dials make
  // superfluous, such as the grants of a bootstrap that two hosts begin.
  test.each([0, 40])(
    "answers requests on a link that a later dial replaces (answers take %i ms)",
    async (answerTime) => {
      const left = await listen(first);
      const right = await listen(second);
      right.onRequest(echo, (body) => body);
      left.onRequest(echo, async (body) => {
        await delay(answerTime);
        return body;
      });
      const dialDelay = 80;
      const toRight = await startTcpProxy(right.address.port, { dialDelay });
      const toLeft = await startTcpProxy(left.address.port);
      left.setAddress(second, toRight.address);
      right.setAddress(first, toLeft.address);
      const requests = [left.request(echo, { to: second, body: 0 })];
      for (let body = 1; body <= 2 * dialDelay; body += 1) {
        requests.push(right.request(echo, { to: first, body }));
        await delay(1);
      }
      expect(await Promise.all(requests)).toEqual([...requests.keys()]);
      await waitUntil(() => toLeft.sockets.every(({ closed }) => closed));
      expect(toRight.sockets.map(({ closed }) => closed))
        .toEqual([false, false]);
      for (const { server } of [toLeft, toRight]) server.close();
    },
  );

  // Guards against a full mesh and loss of the reopening message.
  test("closes an idle link and reopens it for the next message", async () => {
    const left = await listen(first, { idleTimeout: 120 });
    const right = await listen(second);
    right.onRequest(echo, (body) => body);
    left.setAddress(second, right.address);
    await left.request(echo, { to: second, body: 1 });
    await waitUntil(() => left.peers().length + right.peers().length === 0);
    const notes: unknown[] = [];
    right.onMessage(note, (body) => notes.push(body));
    left.send(note, { to: second, body: 2 });
    await waitUntil(() => notes.length === 1);
  });

  // Guards against a host without the token on either end, against another
  // host that answers at a known address, and against malformed hellos.
  test("refuses hosts with a wrong token, another host id or a bad hello", async () => {
    const right = await listen(second);
    const wrongTokenHost = await listen(first, {
      token: "another token, as long",
    });
    wrongTokenHost.setAddress(second, right.address);
    const refused = wrongTokenHost.request(echo, { to: second, body: 1 });
    await expect(refused).rejects.toThrow(TransportError);
    const left = await listen(first);
    const third = "third" as HostId;
    left.setAddress(third, right.address);
    await expect(left.request(echo, { to: third, body: 1 })).rejects.toThrow(
      TransportError,
    );
    const { port } = right.address;
    for (const hello of ["x", "{}", "null", "[1]", "x".repeat(5_000)]) {
      const socket = new WebSocket(`ws://127.0.0.1:${port}/`);
      socket.on("error", () => {});
      await new Promise((resolve) => socket.on("open", resolve));
      socket.send(hello);
      await new Promise((resolve) => socket.on("close", resolve));
    }
    const silent = connect(port, "127.0.0.1");
    const plain = await fetch(`http://127.0.0.1:${port}/`);
    expect(plain.status).toBe(426);
    await new Promise((resolve) => silent.on("close", resolve).resume());
    expect(right.peers()).toEqual([]);
    expect(right.counters().rejectedConnections).toBeGreaterThanOrEqual(6);
  });

  // Guards against client certificates that are configured but not required.
  test("accepts only hosts with a certificate signed by the authority", async () => {
    const right = await listen(second, { certificates });
    right.onRequest(echo, (body) => body);
    const left = await listen(first, { certificates });
    left.setAddress(second, right.address);
    expect(await left.request(echo, { to: second, body: 1 })).toBe(1);
    const { port } = right.address;
    const { authority } = certificates;
    for (
      const url of ["ws", "wss"].map((name) => `${name}://127.0.0.1:${port}`)
    ) {
      const socket = new WebSocket(url, { ca: authority });
      const outcome = await new Promise((resolve) => {
        socket.on("open", () => resolve("open"));
        socket.on("error", () => resolve("refused"));
        socket.on("close", () => resolve("refused"));
      });
      expect(outcome).toBe("refused");
    }
  });

  // Guards against a silent link that stays, one not reopened,
  // and the token in listener bytes (dialler bytes are masked).
  test("closes a silent link and reconnects", async () => {
    const right = await listen(second);
    right.onRequest(echo, (body) => body);
    const { server, sockets, seen } = await startTcpProxy(right.address.port);
    const left = await listen(first);
    const { port } = server.address() as AddressInfo;
    left.setAddress(second, { address: "127.0.0.1", port });
    await left.request(echo, { to: second, body: 1 });
    expect(seen().includes(token)).toBe(false);
    for (const socket of sockets) socket.pause();
    const pending = left.request(echo, { to: second, body: 2 });
    await expect(pending).rejects.toMatchObject({ failure: "link_closed" });
    const deadline = performance.now() + 3_000;
    let answer: unknown;
    while (answer !== 3 && performance.now() < deadline) {
      answer = await left.request(echo, { to: second, body: 3, timeout: 500 })
        .catch(() => delay(20));
    }
    expect(answer).toBe(3);
    await left.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });

  // Guards against unbounded memory growth when a peer reads slowly.
  test("bounds the queue of a link", async () => {
    const right = await listen(second);
    right.onRequest(echo, (body) => body);
    const { server, sockets } = await startTcpProxy(right.address.port);
    const left = await listen(first, {
      queueBytes: 100_000,
      heartbeatInterval: 5_000,
    });
    const { port } = server.address() as AddressInfo;
    left.setAddress(second, { address: "127.0.0.1", port });
    await left.request(echo, { to: second, body: 1 });
    for (const socket of sockets) socket.pause();
    const body = "x".repeat(10_000);
    let accepted = 0;
    for (let count = 0; count < 5_000; count += 1) {
      accepted += left.send(note, { to: second, body }) ? 1 : 0;
      if (count % 100 === 0) await delay(0);
    }
    expect(accepted).toBeLessThan(4_000);
    expect(left.counters().droppedMessages).toBe(5_000 - accepted);
    server.close();
    for (const socket of sockets) socket.destroy();
  });

  // Guards against requests that remain pending after the caller has left.
  test("cancels requests on timeout and abort, including their handlers", async () => {
    const left = await listen(first);
    const right = await listen(second);
    left.setAddress(second, right.address);
    let aborted = 0;
    right.onRequest(echo, (body, { signal }) => {
      if (body === "linked") return body;
      signal.addEventListener("abort", () => aborted += 1);
      return new Promise(() => {});
    });
    // The timeout below may not pass before the link is up.
    await left.request(echo, { to: second, body: "linked" });
    const late = left.request(echo, { to: second, body: 1, timeout: 60 });
    await expect(late).rejects.toMatchObject({
      failure: "timeout",
      maybeDelivered: true,
    });
    const controller = new AbortController();
    const { signal } = controller;
    const ended = left.request(echo, { to: second, body: 1, signal });
    setTimeout(() => controller.abort(new Error("caller left")), 20);
    await expect(ended).rejects.toThrow("caller left");
    await waitUntil(() => aborted === 2);
  });
});

/** Starts a TCP proxy that records all bytes; its sockets can be paused. */
async function startTcpProxy(
  port: number,
  { dialDelay = 0 }: { readonly dialDelay?: number } = {},
): Promise<{
  server: Server;
  address: PeerAddress;
  sockets: Socket[];
  seen: () => string;
}> {
  const sockets: Socket[] = [];
  const chunks: string[] = [];
  const server = createServer((client) => {
    const upstream = connect(port, "127.0.0.1");
    sockets.push(client, upstream);
    for (const socket of [client, upstream]) {
      socket.on("error", () => {});
      socket.on("data", (data) => chunks.push(data.toString("latin1")));
    }
    client.pause();
    setTimeout(() => client.pipe(upstream), dialDelay);
    upstream.pipe(client);
    client.on("close", () => upstream.destroy());
    upstream.on("close", () => client.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const address = {
    address: "127.0.0.1",
    port: (server.address() as AddressInfo).port,
  };
  return { server, address, sockets, seen: () => chunks.join("") };
}
