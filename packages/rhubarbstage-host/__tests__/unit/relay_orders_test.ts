/**
 * Orders to engines without fencing, which report how many orders they accepted
 * but not which.
 */

import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { OrderIntent } from "@rhubarbstage/control";
import { ServerConnections } from "@rhubarbstage/relay";
import type {
  BackendServerId,
  FencingNumber,
  HostId,
  Incarnation,
  OrderId,
} from "rhubarbstage";
import { TestDialect } from "../../../rhubarbstage-relay/__tests__/harness.ts";
import { RelayOrderConnector } from "../../src/relay_orders.ts";

const backendServer = "engine-1" as BackendServerId;
const incarnation = 7 as Incarnation;

/** Answer to an accepted order as it is repeated. */
const acceptance = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/** An engine that accepts orders, refuses them, or accepts and disconnects. */
class TestEngine {
  /** Whether answers are repeated where the next one is due. */
  repeatsAnswers = false;
  readonly #repeated = new WeakSet<Socket>();
  readonly orders: unknown[] = [];
  acceptedOrders = 3;
  answer: "accept" | "refuse" | "disconnect" = "accept";
  url = "";
  readonly #server: Server = createServer((request, response) => {
    let body = "";
    request.on("data", (piece) => body += String(piece));
    request.on("end", () => {
      const { socket } = request;
      if (this.#repeated.has(socket)) socket.write(acceptance);
      if (request.method === "GET") {
        const { acceptedOrders } = this;
        response.end(JSON.stringify({ acceptedOrders, isBusy: false }));
        return;
      }
      this.orders.push(JSON.parse(body));
      if (this.answer === "refuse") {
        response.writeHead(409).end();
        return;
      }
      this.acceptedOrders += 1;
      if (this.repeatsAnswers) this.#repeated.add(socket);
      if (this.answer === "accept") response.writeHead(202).end();
      else request.socket.destroy();
    });
  });

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    this.url = `http://127.0.0.1:${port}`;
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

let engine: TestEngine;
let connections: ServerConnections;

beforeEach(async () => {
  engine = new TestEngine();
  await engine.start();
  connections = new ServerConnections({
    dialect: new TestDialect(),
    maxConnections: () => 10,
    hosts: () => 1,
  });
});

afterEach(async () => {
  await connections.close();
  engine.stop();
});

function createConnector(isAnnounced = true) {
  return new RelayOrderConnector({
    dialect: new TestDialect(),
    connections,
    holder: "host-1",
    incarnationOf: () => isAnnounced ? incarnation : undefined,
  });
}

function target() {
  return { backendServer, address: engine.url };
}

function intentOf(fencingNumber: number): OrderIntent {
  return {
    orderId: `order-${fencingNumber}` as OrderId,
    backendServer,
    kind: "set_role",
    argument: "prefill",
    fencingNumber: fencingNumber as FencingNumber,
    incarnation,
    honoursFencing: false,
    sender: { host: "host-1" as HostId, incarnation },
    takenOver: false,
  };
}

test("sends the fencing number and the count of accepted orders", async () => {
  const connection = await createConnector().open(target());
  await connection.status();
  expect(await connection.send(intentOf(9))).toEqual({ type: "confirmed" });
  expect(engine.orders).toEqual([{
    role: "prefill",
    holder: "host-1",
    fencingNumber: 9,
    acceptedOrders: 3,
  }]);
});

test("reports a refusal as refused and a lost answer as unknown", async () => {
  const connector = createConnector();
  engine.answer = "refuse";
  const refused = await connector.open(target());
  await refused.status();
  expect(await refused.send(intentOf(9))).toMatchObject({ type: "refused" });
  engine.answer = "disconnect";
  const unanswered = await connector.open(target());
  await unanswered.status();
  expect(await unanswered.send(intentOf(10))).toMatchObject({
    type: "unknown",
  });
  // The increased count of accepted orders shows that it was accepted.
  const reopened = await connector.open(target());
  const { lastOrder } = await reopened.status();
  expect(lastOrder).toEqual({ fencingNumber: 10, state: "done" });
});

test("reports an order to an unreachable engine as not sent", async () => {
  const connection = await createConnector().open(target());
  await connection.status();
  engine.stop();
  await connections.close();
  const answer = await connection.send(intentOf(9));
  expect(answer).toMatchObject({ type: "not_sent" });
  expect(engine.orders).toEqual([]);
});

test("refuses to open a connection to an unannounced engine", async () => {
  await expect(createConnector(false).open(target())).rejects.toMatchObject({
    kind: "backend_unreachable",
  });
});

// Guards against an order that is believed to be accepted because the answer to an
// earlier one is repeated (review/1, related path).
test("a copy of an answer does not confirm a later order", async () => {
  engine.repeatsAnswers = true;
  // A kept connection is free again in a later turn of the event loop.
  const waitUntilFree = () => new Promise((resolve) => setTimeout(resolve, 20));
  const connection = await createConnector().open(target());
  await connection.status();
  await waitUntilFree();
  expect(await connection.send(intentOf(9))).toEqual({ type: "confirmed" });
  engine.answer = "refuse";
  await waitUntilFree();
  expect(await connection.send(intentOf(10))).toMatchObject({
    type: "refused",
  });
});
