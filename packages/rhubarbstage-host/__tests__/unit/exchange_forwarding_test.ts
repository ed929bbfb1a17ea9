/**
 * Requests that one host sends to a server through another one. Pattern: hosts
 * on a local network; the other host's connections are scripted.
 */

import { Buffer } from "node:buffer";
import { setMaxListeners } from "node:events";
import {
  type AvailabilityZone,
  type BackendServerId,
  delay,
  type HostId,
  MemoryBudget,
  type Region,
} from "rhubarbstage";
import type { HostRecord } from "@rhubarbstage/membership";
import {
  type Dialect,
  ExchangeError,
  type ExchangeRequest,
  type ExchangeResponse,
  NoForwardingHostError,
  type ProbeResult,
} from "@rhubarbstage/relay";
import { LocalNetwork } from "@rhubarbstage/transport";
import { ExchangeForwarding } from "../../src/exchange_forwarding.ts";
import { ForwardingService } from "../../src/forwarding_service.ts";

const server = {
  id: "server-1" as BackendServerId,
  url: "http://127.0.0.1:1",
};
const request: ExchangeRequest = {
  id: "charge-1",
  method: "POST",
  path: "/pay",
  headers: ["content-type", "text/plain"],
  body: Buffer.from("ten litres"),
};
const headers = ["content-type", "text/plain"];

type SendDirect = (
  sent: ExchangeRequest,
  signal: AbortSignal,
) => Promise<ExchangeResponse>;

function respond(body: () => AsyncGenerator<Buffer, void, void>): SendDirect {
  return () =>
    Promise.resolve({
      status: 200,
      headers,
      metadata: {
        isNotRun: false,
        isWrongServer: false,
        isSigned: true,
      },
      body: body(),
      discard: () => {},
    });
}

const respondShortly = respond(async function* () {
  await delay(1);
  yield Buffer.from("paid");
});

const dialect = {
  parseResponse: () => ({
    isNotRun: false,
    isWrongServer: false,
    isSigned: true,
  }),
} as unknown as Dialect;

interface HostChanges {
  readonly region?: string;
  readonly servesCallers?: boolean;
  readonly sendDirect?: SendDirect;
  readonly isCutOff?: () => boolean;
  readonly acceptsWork?: () => boolean;
  readonly isDirect?: boolean;
  readonly knowsServer?: boolean;
  readonly probe?: ProbeResult;
  readonly maxRequests?: number;
  readonly budget?: MemoryBudget;
}

class TestHosts {
  readonly network = new LocalNetwork();
  readonly sent: { host: string; request: ExchangeRequest }[] = [];
  readonly #stopped = new AbortController();
  readonly #records: HostRecord[] = [];

  constructor() {
    setMaxListeners(0, this.#stopped.signal);
  }

  get signal(): AbortSignal {
    return this.#stopped.signal;
  }

  start(name: string, changes: HostChanges = {}) {
    const host = name as HostId;
    const region = (changes.region ?? "north") as Region;
    this.#records.push({
      host,
      region,
      availabilityZone: `${region}-a` as AvailabilityZone,
      peerAddress: "",
      httpAddress: "",
      replica: changes.servesCallers === false,
      servesCallers: changes.servesCallers ?? true,
    });
    const transport = this.network.addHost(host);
    const { sendDirect = respondShortly } = changes;
    const service = new ForwardingService({
      transport,
      connections: {
        sendDirect: (_server, sent, { signal }) => {
          this.sent.push({ host: name, request: sent });
          return sendDirect(sent, signal);
        },
      },
      serverOf: () => changes.knowsServer === false ? undefined : server,
      isDirect: () => changes.isDirect ?? true,
      isCutOff: changes.isCutOff ?? (() => false),
      acceptsWork: changes.acceptsWork ?? (() => true),
      probe: () => Promise.resolve(changes.probe ?? "answered"),
      maxRequests: changes.maxRequests ?? 10,
      ...(changes.budget === undefined ? {} : { budget: changes.budget }),
      signal: this.signal,
    });
    const forwarding = new ExchangeForwarding({
      host,
      region,
      transport,
      membership: { listLiveHosts: () => this.#records },
      dialect,
      signal: this.signal,
    });
    return { forwarding, service };
  }

  stop(): void {
    this.#stopped.abort();
  }
}

let hosts = new TestHosts();

beforeEach(() => {
  hosts = new TestHosts();
});

afterEach(() => hosts.stop());

function send(
  forwarding: ExchangeForwarding,
  signal: AbortSignal = hosts.signal,
): Promise<ExchangeResponse> {
  return forwarding.send(server, request, { signal });
}

async function readText({ body }: ExchangeResponse): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

test("passes the request and the response on unchanged", async () => {
  const { forwarding } = hosts.start("cut");
  hosts.start("near");
  const response = await send(forwarding);
  expect(response).toMatchObject({ status: 200, headers });
  expect(await readText(response)).toBe("paid");
  expect(hosts.sent).toMatchObject([{
    host: "near",
    request: { id: "charge-1", method: "POST", path: "/pay", headers },
  }]);
  expect(hosts.sent[0]?.request.body?.toString()).toBe("ten litres");
});

// Guards against a status that is none and comes through a host of another version.
test.each([0, 99, 101, 600])("status %i is no response", async (status) => {
  const { forwarding } = hosts.start("cut");
  const sound = await respondShortly(request, hosts.signal);
  hosts.start("near", {
    sendDirect: () => Promise.resolve({ ...sound, status }),
  });
  await expect(send(forwarding)).rejects.toMatchObject({
    name: "ExchangeError",
    maybeDelivered: true,
  });
});

// Guards against requests of other hosts that no memory is counted for.
test("a host without memory sends nothing for others", async () => {
  const { forwarding } = hosts.start("cut");
  const budget = new MemoryBudget({ limitBytes: 300_000 });
  hosts.start("near", { budget });
  await readText(await send(forwarding));
  const other = budget.open();
  other.grow(100_000);
  await expect(send(forwarding)).rejects.toMatchObject({
    maybeDelivered: false,
  });
  expect(hosts.sent).toHaveLength(1);
  expect(budget.usedBytes).toBe(100_000);
});

test("asks entry hosts of the region first and control hosts last", async () => {
  const { forwarding } = hosts.start("cut");
  hosts.start("control", { servesCallers: false });
  hosts.start("far", { region: "south" });
  hosts.start("near");
  for (let count = 0; count < 3; count += 1) {
    await readText(await send(forwarding));
  }
  expect(new Set(hosts.sent.map(({ host }) => host))).toEqual(
    new Set(["near"]),
  );
});

// RECOVER with most of a zone cut: hosts that are cut off themselves are asked.
test("finds the one host that can help among those that are cut off", async () => {
  const { forwarding } = hosts.start("cut");
  for (let index = 0; index < 9; index += 1) {
    hosts.start(`also-cut-${index}`, { isCutOff: () => true });
  }
  hosts.start("far", { region: "south" });
  await readText(await send(forwarding));
  expect(hosts.sent.map(({ host }) => host)).toEqual(["far"]);
});

test("goes on with another host if one has been cut off since its offer", async () => {
  let isCutOff = false;
  const { forwarding } = hosts.start("cut");
  hosts.start("near", { isCutOff: () => isCutOff });
  hosts.start("far", { region: "south" });
  await readText(await send(forwarding));
  isCutOff = true;
  await readText(await send(forwarding));
  expect(hosts.sent.map(({ host }) => host)).toEqual(["near", "far"]);
});

test("tells that no host offers its help before anything is sent", async () => {
  const { forwarding } = hosts.start("cut");
  hosts.start("leaving", { acceptsWork: () => false });
  await expect(send(forwarding)).rejects.toThrow(NoForwardingHostError);
  expect(forwarding.isRefused).toBe(true);
});

// DRAIN: the host that sends may know better that a server leaves.
test("sends nothing to a server that the other host does not use", async () => {
  const { forwarding } = hosts.start("cut");
  hosts.start("near", { knowsServer: false });
  await expect(send(forwarding)).rejects.toMatchObject({
    maybeDelivered: false,
  });
  expect(hosts.sent).toEqual([]);
  expect(forwarding.hasOffers).toBe(true);
});

test("refuses more requests than it may forward at the same time", async () => {
  const { forwarding } = hosts.start("cut");
  hosts.start("near", {
    maxRequests: 1,
    sendDirect: respond(async function* () {
      await delay(10_000, { signal: hosts.signal });
      yield Buffer.from("late");
    }),
  });
  await send(forwarding);
  await expect(send(forwarding)).rejects.toThrow(ExchangeError);
  expect(hosts.sent).toHaveLength(1);
});

describe("a failure", () => {
  // REFUSED: only what no server has got may be called not run.
  test.each([true, false])(
    "keeps whether the server may have got the request: %s",
    async (maybeDelivered) => {
      const { forwarding } = hosts.start("cut");
      hosts.start("near", {
        sendDirect: () =>
          Promise.reject(
            new ExchangeError(new Error("reset"), { maybeDelivered }),
          ),
      });
      await expect(send(forwarding)).rejects.toMatchObject({
        maybeDelivered,
        message: "reset",
      });
    },
  );

  // MIXED: a response that broke off must not look complete.
  test("in the middle of a response ends its body with an error", async () => {
    const { forwarding } = hosts.start("cut");
    hosts.start("near", {
      sendDirect: respond(async function* () {
        yield Buffer.from("pa");
        await delay(5);
        throw new ExchangeError(new Error("reset"), { maybeDelivered: true });
      }),
    });
    const response = await send(forwarding);
    await expect(readText(response)).rejects.toMatchObject({
      maybeDelivered: true,
    });
  });
});

// GONE: servers worked on for callers that had left.
test("ends the request at the server when the caller leaves", async () => {
  let isEnded = false;
  const { forwarding } = hosts.start("cut");
  hosts.start("near", {
    sendDirect: (_sent, signal) =>
      new Promise((_resolve, reject) => {
        signal.addEventListener("abort", () => {
          isEnded = true;
          reject(new ExchangeError(signal.reason, { maybeDelivered: true }));
        });
      }),
  });
  const caller = new AbortController();
  const response = send(forwarding, caller.signal);
  const failure = expect(response).rejects.toMatchObject({
    maybeDelivered: true,
  });
  await delay(50);
  caller.abort(new Error("left"));
  await failure;
  await delay(50);
  expect(isEnded).toBe(true);
});

test("reads no further than a window ahead of a caller that reads slowly", async () => {
  const chunkBytes = 65_536;
  const chunks = 40;
  let produced = 0;
  const { forwarding } = hosts.start("cut");
  hosts.start("near", {
    sendDirect: respond(async function* () {
      for (; produced < chunks; produced += 1) {
        await delay(0);
        yield Buffer.alloc(chunkBytes, produced);
      }
    }),
  });
  const response = await send(forwarding);
  await delay(200);
  expect(produced).toBeLessThan(chunks / 4);
  let read = 0;
  for await (const chunk of response.body) read += chunk.length;
  expect(read).toBe(chunks * chunkBytes);
});

test("a host that stops waits for what it forwards", async () => {
  const { forwarding } = hosts.start("cut");
  const { service } = hosts.start("near", {
    sendDirect: respond(async function* () {
      yield Buffer.from("pa");
      await delay(100);
      yield Buffer.from("id");
    }),
  });
  const response = await send(forwarding);
  let isIdle = false;
  void service.waitUntilIdle().then(() => isIdle = true);
  await delay(20);
  expect(isIdle).toBe(false);
  expect(await readText(response)).toBe("paid");
  await delay(20);
  expect(isIdle).toBe(true);
});

describe("other hosts are asked for a server", () => {
  test("and one that reaches it is enough", async () => {
    const { forwarding } = hosts.start("cut");
    hosts.start("near", { probe: "refused" });
    hosts.start("control", { servesCallers: false, probe: "answered" });
    expect(await forwarding.reaches(server.id)).toBe(true);
  });

  test("and those that are cut off say nothing of it", async () => {
    const { forwarding } = hosts.start("cut");
    hosts.start("near", { isCutOff: () => true, probe: "answered" });
    expect(await forwarding.reaches(server.id)).toBe(false);
  });
});
