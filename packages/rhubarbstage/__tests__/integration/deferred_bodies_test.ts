/** Bodies over connections of Node.js whose reads are deferred. */

import { Agent, createServer, request, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import {
  CallerConnections,
  MemoryBudget,
  readRequestBody,
  ReadScheduler,
} from "../../src/mod.ts";

const connectionCount = 5;
const scheduler = new ReadScheduler({ chunksPerTurn: 1 });
const connections = new CallerConnections({ scheduler });
const budget = new MemoryBudget();
let server: Server;

beforeAll(async () => {
  server = createServer((incoming, response) => {
    const lease = budget.open();
    const limit = 1_000_000;
    void readRequestBody(incoming, { limit, lease, scheduler })
      .then((body) => response.end(body));
  });
  connections.attach(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
});

function chunkedRequest(body: string, headers = ""): string {
  const chunks = [...body].map((letter) => `1\r\n${letter}\r\n`);
  return `POST / HTTP/1.1\r\nHost: a\r\n${headers}` +
    `Transfer-Encoding: chunked\r\n\r\n${chunks.join("")}0\r\n\r\n`;
}

/** Sends two requests at once; resolves with the bodies of both answers. */
function sendPipelined(bodies: readonly [string, string]): Promise<string[]> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    let received = "";
    socket.on("error", reject);
    socket.on("data", (bytes) => received += String(bytes));
    socket.on("close", () =>
      resolve(
        received.split("HTTP/1.1 200 OK").slice(1)
          .map((answer) => answer.split("\r\n\r\n")[1] ?? ""),
      ));
    const [first, last] = bodies;
    socket.write(
      chunkedRequest(first) + chunkedRequest(last, "Connection: close\r\n"),
    );
  });
}

// Guards against bytes that are lost, and connections that are never read again,
// where reading stops and starts between chunks.
test("deferred bodies arrive whole, and their connections go on", async () => {
  const bodies = Array.from({ length: connectionCount }, (_, index) => {
    const text = `connection ${index}, `;
    return [text.repeat(1_500), text.repeat(700)] as [string, string];
  });
  expect(await Promise.all(bodies.map(sendPipelined))).toEqual(bodies);
  expect(scheduler.deferrals).toBeGreaterThan(connectionCount);
  expect(scheduler.waiting).toBe(0);
});

function send(agent: Agent, body: string): Promise<string> {
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const sent = request({ port, agent, method: "POST" }, async (response) => {
      let answer = "";
      for await (const chunk of response) answer += String(chunk);
      resolve(answer);
    });
    sent.on("error", reject);
    sent.end(body);
  });
}

// Guards against a client that is held back though it waits for each answer.
test("requests one after the other on a connection never wait", async () => {
  const { deferrals } = scheduler;
  const countPipelined = jest.spyOn(scheduler, "countPipelined");
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let sent = 0; sent < 20; sent += 1) {
    expect(await send(agent, `body ${sent}`)).toBe(`body ${sent}`);
  }
  agent.destroy();
  expect(countPipelined).not.toHaveBeenCalled();
  expect(scheduler.deferrals).toBe(deferrals);
  expect(scheduler.waiting).toBe(0);
});
