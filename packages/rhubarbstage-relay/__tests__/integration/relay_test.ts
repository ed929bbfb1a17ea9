import {
  answer,
  exchange,
  request,
  type Script,
  startRelay,
  startServer,
  type TestRelay,
  type TestServer,
} from "../harness.ts";
import type { Route } from "../../src/types.ts";

let servers: TestServer[] = [];
let relay: TestRelay | undefined;

async function start(scripts: readonly Script[], route: Partial<Route> = {}) {
  servers = await Promise.all(scripts.map(startServer));
  relay = await startRelay({ servers, route });
  return relay.port;
}

afterEach(async () => {
  await relay?.close();
  await Promise.all(servers.map((server) => server.close()));
});

function receivedCount(): number {
  return servers.reduce((sum, { received }) => sum + received.length, 0);
}

function delayMilliseconds(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

const stream: Partial<Route> = { kind: "stream", maxAttempts: 2 };
const streamHead = "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

test("relays method, path, query, headers and body unchanged", async () => {
  const port = await start([
    ({ socket }) =>
      socket.write(answer("201 Made", ["X-Odd: a", "x-odd: b"], "whole")),
  ], { kind: "at_most_once" });
  const seen = await exchange(
    port,
    request({
      method: "PATCH",
      path: "/a%2Fb//c?x=%zz&y",
      headers: ["X-Own: 1", "Content-Type: odd/type"],
      body: "the body",
    }),
  );
  const [received] = servers[0]!.received;
  expect(received?.head).toMatch(/^PATCH \/a%2Fb\/\/c\?x=%zz&y HTTP\/1\.1/);
  expect(received?.head).toMatch(/X-Own: 1/);
  expect(received?.head).toMatch(/test-server: server-0/);
  expect(received?.body).toBe("the body");
  expect(seen).toMatch(/^HTTP\/1\.1 201 /);
  expect(seen).toMatch(/X-Odd: a\r\nx-odd: b/);
  expect(seen).toMatch(/\r\n\r\nwhole$/);
});

test("relays a chunked request body", async () => {
  const port = await start([
    ({ socket }) => socket.write(answer("200 OK", [], "ok")),
  ]);
  const text = request({
    method: "POST",
    headers: ["Transfer-Encoding: chunked"],
  });
  const seen = await exchange(
    port,
    `${text}5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n`,
  );
  expect(seen).toMatch(/^HTTP\/1\.1 200 /);
  expect(servers[0]?.received[0]?.body).toBe("hello world");
});

test("responds with 404 to a request without a route", async () => {
  const port = await start([() => {}]);
  const text = request({}).replace("shop.example", "other.example");
  expect(await exchange(port, text)).toMatch(/^HTTP\/1\.1 404 /);
  expect(receivedCount()).toBe(0);
});

test("retries at-most-once requests reported as not run", async () => {
  const refuse: Script = ({ socket }) =>
    socket.write(answer("503 Full", ["test-not-run: 1"], ""));
  const serve: Script = ({ socket }) =>
    socket.write(answer("200 OK", [], "done"));
  const port = await start([refuse, serve], { kind: "at_most_once" });
  for (let count = 0; count < 6; count += 1) {
    const seen = await exchange(port, request({ method: "POST", body: "x" }));
    expect(seen).toMatch(/^HTTP\/1\.1 200 /);
  }
});

test("sends a request to at most maxAttempts servers", async () => {
  const refuse: Script = ({ socket }) =>
    socket.write(answer("503 Full", ["test-not-run: 1"], ""));
  const port = await start([refuse, refuse, refuse], { maxAttempts: 2 });
  const seen = await exchange(port, request({}));
  expect(seen).toMatch(/^HTTP\/1\.1 503 /);
  expect(seen).toMatch(/retry-after: [\d.]+/i);
  expect(receivedCount()).toBe(2);
});

test("an unreachable server does not count as an attempt", async () => {
  const serve: Script = ({ socket }) =>
    socket.write(answer("200 OK", [], "done"));
  servers = await Promise.all([startServer(serve), startServer(serve)]);
  await servers[0]!.close();
  const route: Partial<Route> = { kind: "at_most_once", maxAttempts: 1 };
  relay = await startRelay({ servers, route });
  const statuses = new Set<string>();
  for (let count = 0; count < 4; count += 1) {
    const text = request({ method: "POST", body: "x" });
    statuses.add((await exchange(relay.port, text)).slice(9, 12));
  }
  expect([...statuses]).toEqual(["200"]);
});

// Guards against requests to a server whose answers say that it leaves, or that
// it wants a pause, while its announcement says nothing of it.
test.each(["test-leaving: 1", "test-pause: 60000"])(
  "a server that answers %s gets no more requests",
  async (header) => {
    const serve: Script = ({ socket }) =>
      socket.write(answer("200 OK", [], "done"));
    const port = await start([
      ({ socket }) => socket.write(answer("200 OK", [header], "done")),
      serve,
    ]);
    for (let count = 0; count < 20; count += 1) {
      expect(await exchange(port, request({}))).toMatch(/^HTTP\/1\.1 200 /);
    }
    expect(servers.map(({ received }) => received.length)).toEqual([1, 19]);
  },
);

test("never retries an at-most-once request that may have run", async () => {
  const disconnect: Script = ({ socket }) => socket.destroy();
  const port = await start([disconnect, disconnect], { kind: "at_most_once" });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/^HTTP\/1\.1 502 /);
  expect(receivedCount()).toBe(1);
});

test("retries idempotent requests whose connection was lost", async () => {
  const disconnect: Script = ({ socket }) => socket.destroy();
  const serve: Script = ({ socket }) =>
    socket.write(answer("200 OK", [], "done"));
  const port = await start([disconnect, serve]);
  for (let count = 0; count < 4; count += 1) {
    expect(await exchange(port, request({}))).toMatch(/^HTTP\/1\.1 200 /);
  }
});

test("relays a server's error response if all retries fail", async () => {
  const fail: Script = ({ socket }) =>
    socket.write(answer("500 Broken", ["X-Mine: 1"], "the server's words"));
  const port = await start([fail, fail]);
  const seen = await exchange(port, request({}));
  expect(seen).toMatch(/^HTTP\/1\.1 500 /);
  expect(seen).toMatch(/X-Mine: 1/);
  expect(seen).toMatch(/the server's words$/);
  expect(receivedCount()).toBe(2);
});

test.each([
  ["a response to another request", ["test-id: other"]],
  ["a response without signature", []],
])("never relays %s", async (name, headers) => {
  const unsigned = name.includes("signature");
  const port = await start([
    ({ socket }) => {
      const text = answer("200 OK", headers, "not yours");
      socket.write(unsigned ? text.replace("test-signature: s\r\n", "") : text);
    },
  ], { kind: "at_most_once" });
  const seen = await exchange(port, request({ headers: ["test-id: mine"] }));
  expect(seen).toMatch(/^HTTP\/1\.1 502 /);
  expect(seen).not.toMatch(/not yours/);
});

test("surplus bytes after a response reach no other caller", async () => {
  const port = await start([
    ({ socket, count }) => {
      const matching = answer(
        "200 OK",
        [`test-id: ${count}`],
        `answer ${count}`,
      );
      const extra = answer("200 OK", ["test-id: 1"], "late answer");
      socket.write(matching);
      if (count === 1) setTimeout(() => socket.write(extra), 20);
    },
  ]);
  const first = await exchange(port, request({ headers: ["test-id: 1"] }));
  expect(first).toMatch(/answer 1$/);
  await delayMilliseconds(60);
  const second = await exchange(port, request({ headers: ["test-id: 2"] }));
  expect(second).toMatch(/answer 2$/);
});

test("a truncated stream never looks complete to the caller", async () => {
  const port = await start([
    ({ socket }) => {
      socket.write(streamHead + chunk("id: 1\ndata: a\n\n"));
      setTimeout(() => socket.destroy(), 20);
    },
  ], { ...stream, maxAttempts: 1 });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/data: a/);
  expect(seen).not.toMatch(/\r\n0\r\n\r\n$/);
});

// Guards against a stream that its server broke off inside an event, but whose
// connection closed in order, being passed on as complete.
test.each([true, false])(
  "a stream without length that ends inside an event is broken off (resumable: %p)",
  async (resumable) => {
    const port = await start([
      ({ socket }) =>
        socket.end(
          "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
            "Content-Type: text/event-stream\r\n\r\n" +
            "id: 1\ndata: a\n\nid: 2\nda",
        ),
    ], { ...stream, resumable, maxAttempts: 1 });
    const seen = await exchange(port, request({ method: "POST", body: "x" }));
    expect(seen).toMatch(/data: a/);
    expect(seen).not.toMatch(/\r\n0\r\n\r\n$/);
  },
);

// Guards against the head of a stream, whose server crashed before the first
// event and whose connection closed in order, being passed on as a whole answer.
test("a stream without length and without any event is broken off", async () => {
  const port = await start([
    ({ socket }) =>
      socket.end(
        "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
          "Content-Type: text/event-stream\r\n\r\n",
      ),
  ], { ...stream, maxAttempts: 1 });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/^HTTP\/1\.1 502 /);
});

test("a resumable stream resumes after its last complete event", async () => {
  const breakMidEvent: Script = ({ socket }) => {
    socket.write(
      streamHead + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"),
    );
    setTimeout(() => socket.destroy(), 20);
  };
  const resumeStream: Script = ({ socket, head }) => {
    const after = /test-resume: (\d+)/.exec(head)?.[1];
    if (after === undefined) return breakMidEvent({ socket } as never);
    socket.write(
      streamHead + chunk(`id: 3\ndata: after ${after}\n\n`) + "0\r\n\r\n",
    );
  };
  const port = await start([resumeStream, resumeStream], {
    ...stream,
    resumable: true,
  });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen.match(/id: \d/g)).toEqual(["id: 1", "id: 2", "id: 3"]);
  expect(seen).toMatch(/data: after 2/);
  expect(seen).toMatch(/\r\n0\r\n\r\n$/);
});

test("a response without length is incomplete after a reset", async () => {
  const port = await start([
    ({ socket }) => {
      socket.write("HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\nhalf");
      setTimeout(() => socket.resetAndDestroy(), 20);
    },
  ], { kind: "at_most_once" });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/^HTTP\/1\.1 502 /);
});

test("a reset together with data does not complete a response", async () => {
  const port = await start([
    ({ socket }) => {
      socket.write("HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\nhalf");
      socket.resetAndDestroy();
    },
  ], { kind: "at_most_once" });
  for (let count = 0; count < 10; count += 1) {
    const seen = await exchange(port, request({ method: "POST", body: "x" }));
    expect(seen).toMatch(/^HTTP\/1\.1 502 /);
  }
});

test("a response without length ends with its connection", async () => {
  const port = await start([
    ({ socket }) =>
      socket.end("HTTP/1.1 200 OK\r\ntest-signature: s\r\n\r\nwhole"),
  ], { kind: "at_most_once" });
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/^HTTP\/1\.1 200 /);
  expect(seen).toMatch(/whole/);
});

test("a caller's disconnect closes the server's connection", async () => {
  let closedAfter = 0;
  const port = await start([
    ({ socket }) => {
      const began = performance.now();
      socket.write(streamHead + chunk("id: 1\ndata: a\n\n"));
      socket.on("close", () => closedAfter = performance.now() - began);
    },
  ], stream);
  await exchange(port, request({ method: "POST", body: "x" }), {
    until: (seen) => seen.includes("data: a"),
  });
  await delayMilliseconds(200);
  expect(closedAfter).toBeGreaterThan(0);
  expect(closedAfter).toBeLessThan(200);
});

test("responds with 504 at the timeout of a sent request", async () => {
  const port = await start([() => {}], { kind: "at_most_once", timeout: 300 });
  const began = performance.now();
  const seen = await exchange(port, request({ method: "POST", body: "x" }));
  expect(seen).toMatch(/^HTTP\/1\.1 504 /);
  expect(performance.now() - began).toBeLessThan(600);
});

test("responds with 413 to a body above the limit", async () => {
  const port = await start([() => {}]);
  const text = request({
    method: "POST",
    headers: ["Content-Length: 1000001"],
  });
  const seen = await exchange(port, text);
  expect(seen).toMatch(/^HTTP\/1\.1 413 /);
  expect(receivedCount()).toBe(0);
});

describe("A prompt that is computed by a prefill engine", () => {
  const route: Partial<Route> = { kind: "stream", maxAttempts: 1 };
  const prompt = request({ headers: ["test-tokens: 9000"] });

  /** Starts one prefill engine and two decode engines. */
  async function startEngines(
    acceptsNewWork: (server: string) => boolean,
    options: {
      readonly route?: Partial<Route>;
      /** Milliseconds. */
      readonly prefillTime?: number;
    } = {},
  ): Promise<number> {
    const { prefillTime = 0 } = options;
    const script: Script = ({ head, socket }) => {
      if (/test-step: prefill/.test(head)) {
        const computed = answer("200 OK", [], "handle");
        setTimeout(() => socket.write(computed), prefillTime);
        return;
      }
      socket.write(streamHead + chunk("id: 1\ndata: x\n\n") + chunk(""));
    };
    servers = await Promise.all([script, script, script].map(startServer));
    relay = await startRelay({
      servers,
      route: { ...route, ...options.route },
      settings: { shareEngineState: true },
      roles: ["prefill", "decode", "decode"],
      acceptsNewWork,
    });
    return relay.port;
  }

  /** Names of the engines that were asked to fetch the prompt. */
  function exportFetchers(): string[] {
    return servers
      .map(({ received }, index) => ({ received, name: `server-${index}` }))
      .filter(({ received }) =>
        received.some(({ head }) => /test-export: handle/.test(head))
      )
      .map(({ name }) => name);
  }

  test("is fetched by the decode engine that responds", async () => {
    const port = await startEngines(() => true);
    expect(await exchange(port, prompt)).toMatch(/data: x/);
    expect(servers[0]!.received).toHaveLength(1);
    expect(exportFetchers()).toHaveLength(1);
  });

  // Guards against streams that are started for callers that have left: a busy
  // host may read the close of their connection later than the computed prompt.
  test("is not fetched once the caller no longer waits for the first event", async () => {
    const firstEventTimeout = 800;
    const port = await startEngines(() => true, {
      route: { firstEventTimeout },
      prefillTime: 2 * firstEventTimeout,
    });
    expect(await exchange(port, prompt)).toMatch(/^HTTP\/1\.1 50[34] /);
    expect(servers.map(({ received }) => received.length)).toEqual([1, 0, 0]);
  });

  // Guards against using a server that announced its departure
  // during the prefill, seconds after it was chosen.
  test("is sent to another engine when the chosen one leaves", async () => {
    let chosen: string | undefined;
    const port = await startEngines((server) => {
      chosen ??= server;
      return server !== chosen;
    });
    expect(await exchange(port, prompt)).toMatch(/data: x/);
    expect(exportFetchers()).toHaveLength(1);
    expect(chosen).toBeDefined();
    expect(exportFetchers()).not.toContain(chosen);
  });
});

// Guards against header values of servers that overflow a timer or end a process.
test.each([
  "Keep-Alive: timeout=99999999999999999999",
  "Keep-Alive: timeout=1e300, max=-1",
  "Keep-Alive: timeout=-5",
  "Retry-After: 1e300",
  "Age: 1e400",
])("goes on after a response with %s", async (header) => {
  const warnings: Error[] = [];
  const onWarning = (warning: Error) => warnings.push(warning);
  process.on("warning", onWarning);
  const port = await start([
    ({ socket, head }) => {
      const id = /test-id: (\w+)/.exec(head)?.[0] ?? "";
      socket.write(answer("200 OK", [id, header], "whole"));
    },
  ]);
  for (let index = 0; index < 5; index += 1) {
    // Requests with an id share connections.
    const text = request({ headers: [`test-id: id${index}`] });
    expect(await exchange(port, text)).toMatch(/whole$/);
  }
  await delayMilliseconds(10);
  process.off("warning", onWarning);
  expect(warnings.map(({ name }) => name)).toEqual([]);
});

// Guards against requests that fail after a response of an impossible length.
test.each(["99999999999999999999", "1e400", "-1", "0x10"])(
  "goes on after a response with a length of %s",
  async (length) => {
    const port = await start([
      ({ socket, count }) => {
        if (count > 1) return void socket.write(answer("200 OK", [], "whole"));
        socket.write(
          "HTTP/1.1 200 OK\r\ntest-signature: s\r\n" +
            `Content-Length: ${length}\r\n\r\nwhole`,
        );
      },
    ], { kind: "at_most_once", maxAttempts: 1 });
    const first = await exchange(port, request({}));
    expect(first).not.toMatch(/^HTTP\/1\.1 200 /);
    expect(await exchange(port, request({}))).toMatch(/whole$/);
  },
);
