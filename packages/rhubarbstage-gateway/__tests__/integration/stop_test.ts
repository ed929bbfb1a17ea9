/** The HTTP interface at a planned stop. */

import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { selfSignedCertificate } from "@rhubarbstage/test-support";
import { delay } from "rhubarbstage";
import { Credentials, Gateway, OperatorActions } from "@rhubarbstage/gateway";
import { apiKey, Harness, operatorToken } from "../harness.ts";

/** Time that an operator's call takes, in milliseconds. */
const callTime = 300;
/** Time for which a caller pauses within its request, in milliseconds. */
const pauseTime = 100;
/** Longest time that a stop may take, in milliseconds. */
const maxStopTime = 4_000;

class SlowOperators extends OperatorActions {
  calls = 0;
  /** Time that a call takes, in milliseconds. */
  time = callTime;
  override status = () => ({}) as never;
  override effective = () => ({}) as never;
  override tree = () => this.#answer();
  override edit = () => this.#answer();
  override history = () => this.#answer();
  override backends = () => this.#answer();
  override drain = () => this.#answer();
  override timeline = () => this.#answer();
  override bootstrap = () => this.#answer();
  override repair = () => this.#answer();
  override endOrder = () => this.#answer();
  async #answer(): Promise<never> {
    this.calls += 1;
    if (this.time === Infinity) await new Promise(() => {});
    await delay(this.time);
    return { revision: 8 } as never;
  }
}

class OperatorCredentials extends Credentials {
  override customerOf() {
    return undefined;
  }
  override operatorOf() {
    return "ada";
  }
  override isBackendServer() {
    return false;
  }
}

let harness: Harness;
let operators: SlowOperators;
let gateway: Gateway;
let url: string;

beforeEach(async () => {
  harness = await Harness.start();
  harness.addServer("ledger-1", "http://127.0.0.1:9");
  operators = new SlowOperators();
  gateway = await Gateway.create({
    dispatcher: harness.dispatcher,
    credentials: new OperatorCredentials(),
    settings: harness.settings,
    services: harness.services,
    backendServers: harness.servers,
    operators,
    telemetry: harness.telemetry,
    readiness: harness.readiness,
  });
  url = await gateway.listen({ address: "127.0.0.1", port: 0 });
});

afterEach(async () => {
  await gateway.close();
  await harness.close();
});

const operatorCall = [
  "GET /operator/tree HTTP/1.1",
  "Host: here",
  `Authorization: Bearer ${operatorToken}`,
  "",
  "",
].join("\r\n");

/** A call that must not be repeated. */
const charge = callerRequest("/services/ledger/top-up", '{"litres":10}');

function callerRequest(path: string, body: string): string {
  return [
    `POST ${path} HTTP/1.1`,
    "Host: here",
    `Authorization: Bearer ${apiKey}`,
    "Content-Type: application/json",
    "Idempotency-Key: k1",
    `Content-Length: ${body.length}`,
    "",
    body,
  ].join("\r\n");
}

/** Sends text and collects what comes back until the connection ends. */
function openCaller(origin: string, text: string) {
  const { port, protocol } = new URL(origin);
  const options = { port: Number(port), host: "127.0.0.1" };
  const send = () => socket.write(text);
  const socket: Socket = protocol === "https:"
    ? connectTls({ ...options, rejectUnauthorized: false }, send)
    : connect(options, send);
  let seen = "";
  socket.on("data", (chunk) => seen += chunk.toString("latin1"));
  socket.on("error", (thrown) => seen += ` [${thrown}]`);
  const closed = new Promise<string>((resolve) =>
    socket.on("close", () => resolve(seen))
  );
  return { socket, closed };
}

/** Stops the operators' gateway and returns the time that it took. */
async function stopOperators(): Promise<number> {
  const startedAt = performance.now();
  await gateway.waitUntilIdle();
  await gateway.close();
  return performance.now() - startedAt;
}

/** Stops the callers' gateway in the order in which a host does. */
async function stopCallers(): Promise<number> {
  const startedAt = performance.now();
  harness.readiness.accepts = false;
  await harness.gateway.waitUntilIdle();
  await harness.close();
  return performance.now() - startedAt;
}

// Guards against operators' calls that are carried out while a host stops and
// whose connection is closed without an answer.
test("an operator's call under way at a stop is answered", async () => {
  const { closed } = openCaller(url, operatorCall);
  while (operators.calls === 0) await delay(1);
  await stopOperators();
  expect(await closed).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
  expect(operators.calls).toBe(1);
});

// Guards against stops that are held up by a call that never ends.
test("an operator's call that never ends does not hold up a stop", async () => {
  operators.time = Infinity;
  const { closed } = openCaller(url, operatorCall);
  while (operators.calls === 0) await delay(1);
  expect(await stopOperators()).toBeLessThan(maxStopTime);
  expect(await closed).not.toMatch(/HTTP/);
});

// Guards against stops that wait for calls whose operator has gone, also for those
// that wait behind an earlier call on the connection.
test("calls whose operator has gone do not hold up a stop", async () => {
  operators.time = Infinity;
  const { socket } = openCaller(url, operatorCall.repeat(2));
  while (operators.calls < 2) await delay(1);
  socket.destroy();
  await delay(callTime);
  expect(await stopOperators()).toBeLessThan(maxStopTime / 4);
});

// Guards against requests that have begun to arrive when a host stops and whose
// connection is closed without an answer once they have been read.
test.each([
  ["body", charge.length - 3],
  ["head", charge.length / 2],
])(
  "a request whose %s is half read at a stop is answered",
  async (_, split) => {
    const { socket, closed } = openCaller(harness.url, charge.slice(0, split));
    await delay(pauseTime);
    const stopped = stopCallers();
    await delay(pauseTime);
    socket.write(charge.slice(split));
    // Nothing may begin to run any more, so it is refused and can be repeated.
    expect(await closed).toMatch(/^HTTP\/1\.1 503 .*outcome: not_run\r\n/s);
    await stopped;
    expect(harness.services.calls).toEqual([]);
  },
);

// Guards against operators' calls that end their arrival within a stop and are cut
// at the limit for that, while they run.
test("an operator's call that is half read at a stop is answered", async () => {
  operators.time = callTime * 2;
  const { socket, closed } = openCaller(url, operatorCall.slice(0, -2));
  await delay(pauseTime);
  const stopped = stopOperators();
  await delay(pauseTime);
  socket.write(operatorCall.slice(-2));
  expect(await closed).toMatch(/^HTTP\/1\.1 200 OK\r\n/);
  await stopped;
});

// Guards against stops that are held up by a caller that never ends its request.
test("a request that never ends does not hold up a stop", async () => {
  const callers = [charge.slice(0, -3), charge.slice(0, 20), ""].map((text) =>
    openCaller(harness.url, text)
  );
  await delay(pauseTime);
  expect(await stopCallers()).toBeLessThan(maxStopTime / 4);
  for (const { closed } of callers) {
    expect(await closed).not.toMatch(/HTTP\/1.1 2/);
  }
});

/** Time for which a busy host reads nothing, in milliseconds. */
const busyTime = 300;

function keepBusy(): void {
  const resumesAt = performance.now() + busyTime;
  while (performance.now() < resumesAt);
}

/** Opens connections that are kept after an answer to their first request. */
async function openKeptCallers(origin: string, text: string) {
  const callers = Array.from({ length: 5 }, () => openCaller(origin, text));
  const answers = callers.map(({ socket }) => once(socket, "data"));
  await Promise.all(answers);
  return callers;
}

async function countAnswers(
  callers: readonly { readonly closed: Promise<string> }[],
): Promise<number[]> {
  const seen = await Promise.all(callers.map(({ closed }) => closed));
  return seen.map((text) => (text.match(/HTTP\/1\.1 \d+ /g) ?? []).length);
}

// Guards against requests that have arrived at a busy host, are still unread when
// it closes its idle connections, and get a reset instead of an answer.
test("requests that have arrived unread at a stop are answered", async () => {
  const request = callerRequest("/services/ledger/balance", "{}");
  const callers = await openKeptCallers(harness.url, request);
  for (const { socket } of callers) socket.write(request);
  keepBusy();
  await stopCallers();
  expect(await countAnswers(callers)).toEqual([2, 2, 2, 2, 2]);
});

// Guards against calls that arrive while a stopping host is busy with another one,
// for longer than it takes to read what has arrived, and get a reset.
test("calls that arrive while another is handled at a stop are answered", async () => {
  operators.time = 0;
  const callers = await openKeptCallers(url, operatorCall);
  const [first, ...others] = callers;
  let isBusy = false;
  operators.status = () => {
    isBusy = true;
    for (const { socket } of others) socket.write(operatorCall);
    keepBusy();
    return {} as never;
  };
  first?.socket.write(operatorCall.replace("/tree", "/status"));
  await stopOperators();
  expect(await countAnswers(callers)).toEqual([2, 2, 2, 2, 2]);
  expect(isBusy).toBe(true);
});

// Guards against calls that arrive unread while a stop waits for another one, on a
// connection that is closed as idle after that.
test("calls that arrive while a stop waits for another are answered", async () => {
  operators.time = 0;
  const callers = await openKeptCallers(url, operatorCall);
  let isStarted = false;
  operators.backends = async () => {
    isStarted = true;
    await delay(callTime);
    for (const { socket } of callers) socket.write(operatorCall);
    keepBusy();
    return {} as never;
  };
  const slow = openCaller(url, operatorCall.replace("/tree", "/backends"));
  while (!isStarted) await delay(1);
  await stopOperators();
  expect(await countAnswers([...callers, slow])).toEqual([2, 2, 2, 2, 2, 1]);
});

// Guards against the same losses over TLS, whose connections Node.js counts apart
// from those of plain HTTP.
test("requests unread or half read at a stop are answered over TLS", async () => {
  await harness.close();
  const tls = selfSignedCertificate("rhubarbstage.test");
  harness = await Harness.start({ tls });
  harness.addServer("ledger-1", "http://127.0.0.1:9");
  const request = callerRequest("/services/ledger/balance", "{}");
  const callers = await openKeptCallers(harness.url, request);
  const halfRead = openCaller(harness.url, charge.slice(0, -3));
  await delay(pauseTime);
  for (const { socket } of callers) socket.write(request);
  keepBusy();
  const stopped = stopCallers();
  await delay(pauseTime);
  halfRead.socket.write(charge.slice(-3));
  expect(await countAnswers([...callers, halfRead]))
    .toEqual([2, 2, 2, 2, 2, 1]);
  await stopped;
});
