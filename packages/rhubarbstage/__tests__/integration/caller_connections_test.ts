/** Connections that give way to others at the limit. */

import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { CallerConnections, ReadScheduler } from "../../src/mod.ts";

/** Time after which a connection without progress may give way, in ms. */
const giveWayTime = 1_100;

let server: Server;
let connections: CallerConnections;
const clients: Socket[] = [];

afterEach(() => {
  for (const client of clients) client.destroy();
  server.closeAllConnections();
  server.close();
});

/** Starts a server for one connection that keeps all responses open. */
async function start(): Promise<ServerResponse[]> {
  const responses: ServerResponse[] = [];
  server = createServer((_incoming, response) => responses.push(response));
  connections = new CallerConnections({
    maxConnections: 1,
    maxWaitingHeaders: 8,
    // Requests wait only for earlier ones, not for their turn.
    scheduler: new ReadScheduler({ chunksPerTurn: Infinity }),
  });
  connections.attach(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return responses;
}

async function send(bytes: string): Promise<Socket> {
  const { port } = server.address() as AddressInfo;
  const client = connect(port, "127.0.0.1").on("error", () => {});
  clients.push(client);
  client.write(bytes);
  await wait(giveWayTime);
  return client;
}

const whole = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const begun = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx";

// Guards against requests that go on for a client whose connection was closed.
test("all responses of a connection that gives way are closed", async () => {
  const responses = await start();
  await send(whole + begun);
  let closed = 0;
  for (const response of responses) response.once("close", () => closed += 1);
  await send(whole);
  expect({ closed, responses: responses.length })
    .toEqual({ closed: 2, responses: 3 });
});

// Guards against pipelining clients that keep all others out at the limit.
test("a connection with waiting requests gives way", async () => {
  const responses = await start();
  const first = await send(whole.repeat(65));
  const last = await send(whole);
  expect(last.destroyed).toBe(false);
  expect(first.destroyed).toBe(true);
  expect(responses.at(-1)?.socket?.remotePort).toBe(last.localPort);
});

// Guards against heads without number that are kept for their turn. Each request
// has two header names and values.
test("a connection with too many waiting headers is closed", async () => {
  await start();
  const kept = await send(whole.repeat(64 + 4));
  expect([kept.destroyed, connections.waiting]).toEqual([false, 4]);
  kept.destroy();
  const closed = await send(whole.repeat(64 + 5));
  expect([closed.destroyed, connections.waiting]).toEqual([true, 0]);
  expect(connections.closedForPipelining).toBe(1);
});
