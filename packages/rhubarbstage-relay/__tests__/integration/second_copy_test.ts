/**
 * Servers that send a second copy of a response on a connection that is or will
 * be in use again. No caller may get a response that is not its own.
 */

import { connect, type Socket } from "node:net";
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

let servers: TestServer[] = [];
let relay: TestRelay | undefined;

afterEach(async () => {
  await relay?.close();
  await Promise.all(servers.map((server) => server.close()));
});

const interim = "HTTP/1.1 103 Early Hints\r\nx-hint: 1\r\n\r\n";
/** Delay of a late copy, in milliseconds. */
const copyDelay = 30;
/** Time between two callers, in milliseconds; longer than the delay. */
const callerInterval = 60;

function delayMilliseconds(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function idOf(head: string): string {
  return /test-id: (\w+)/.exec(head)?.[1] ?? "";
}

function responseTo(id: string): string {
  return answer("200 OK", [`test-id: ${id}`], `for ${id}`);
}

/** Responses that each socket has got, to repeat them later. */
const lastResponses = new WeakMap<Socket, string>();

function respond(socket: Socket, head: string): string {
  const response = responseTo(idOf(head));
  socket.write(response);
  lastResponses.set(socket, response);
  return response;
}

const shapes: { name: string; script: Script }[] = [
  {
    name: "with the response",
    script: ({ socket, head }) => {
      const response = responseTo(idOf(head));
      socket.write(response + response);
    },
  },
  {
    name: "while the connection is idle",
    script: ({ socket, head }) => {
      const response = respond(socket, head);
      setTimeout(() => socket.write(response), copyDelay);
    },
  },
  {
    name: "when the next request has arrived",
    script: ({ socket, head }) => {
      const copy = lastResponses.get(socket);
      if (copy !== undefined) socket.write(copy);
      respond(socket, head);
    },
  },
  {
    name: "split over two packets around the next request",
    script: ({ socket, head }) => {
      const copy = lastResponses.get(socket);
      if (copy !== undefined) socket.write(copy.slice(20));
      const response = respond(socket, head);
      setTimeout(() => socket.write(response.slice(0, 20)), copyDelay);
    },
  },
  {
    name: "after an interim response",
    script: ({ socket, head }) => {
      const copy = lastResponses.get(socket);
      if (copy !== undefined) socket.write(interim + copy);
      respond(socket, head);
    },
  },
];

test.each(shapes)("a copy $name reaches no other caller", async (shape) => {
  servers = [await startServer(shape.script)];
  relay = await startRelay({
    servers,
    route: { kind: "at_most_once" },
  });
  const { port } = relay;
  let ownResponses = 0;
  for (const id of ["a", "b", "c", "d", "e"]) {
    const text = request({
      method: "POST",
      body: "charge",
      headers: [`test-id: ${id}`],
    });
    const seen = await exchange(port, text);
    // A failed charge may have run: 502, and never another caller's body.
    expect(seen).toMatch(/^HTTP\/1\.1 (200|502) /);
    if (seen.startsWith("HTTP/1.1 200")) {
      expect(seen).toMatch(new RegExp(`for ${id}$`));
      ownResponses += 1;
    } else expect(seen).not.toContain("for ");
    await delayMilliseconds(callerInterval);
  }
  // A copy may cost a request, but not those after it.
  expect(ownResponses).toBeGreaterThanOrEqual(3);
});

function refusalOf(id: string): string {
  return answer("503 Full", [`test-id: ${id}`, "test-not-run: 1"], "");
}

// Guards against a charge that runs and is answered as not run, by the second
// copy of the refusal of an earlier request (review/1).
test.each([1, 2])(
  "a copy of a refusal is not taken for the next answer (attempts: %i)",
  async (maxAttempts) => {
    const ran: string[] = [];
    let refused: string | undefined;
    const script: Script = ({ socket, head }) => {
      const id = idOf(head);
      if (refused === undefined) {
        refused = id;
        socket.write(refusalOf(id));
        return;
      }
      ran.push(id);
      socket.write(refusalOf(refused) + responseTo(id));
    };
    servers = [await startServer(script)];
    relay = await startRelay({
      servers,
      route: { kind: "at_most_once", maxAttempts },
    });
    const seen: string[] = [];
    for (const id of ["a", "b"]) {
      const text = request({
        method: "POST",
        body: "charge",
        headers: [`test-id: ${id}`],
      });
      seen.push(await exchange(relay.port, text));
    }
    expect(seen[0]).toMatch(/^HTTP\/1\.1 503 /);
    expect(seen[1]).toMatch(/^HTTP\/1\.1 502 /);
    expect(ran).toEqual(["b"]);
  },
);

// Guards against a stream that goes on from the prompt of another request, by the
// second copy of the answer to an earlier prefill (review/2).
test("a copy of a prefill answer hands on no other prompt", async () => {
  const fetched: [id: string, handle: string][] = [];
  const prefillServer = await startServer((received) => {
    const id = idOf(received.head);
    const response = answer("200 OK", [`test-id: ${id}`], `prompt-${id}`);
    received.socket.write(
      (lastResponses.get(received.socket) ?? "") + response,
    );
    lastResponses.set(received.socket, response);
  });
  const decodeServer = await startServer(({ socket, head }) => {
    const id = idOf(head);
    const handle = /test-export: (\S+)/.exec(head)?.[1];
    if (handle !== undefined) fetched.push([id, handle]);
    socket.write(
      answer("200 OK", [`test-id: ${id}`], `id: 1\ndata: ${id}\n\n`),
    );
  });
  servers = [prefillServer, decodeServer];
  relay = await startRelay({
    servers,
    route: { kind: "stream", maxAttempts: 1 },
    settings: { shareEngineState: true },
    roles: ["prefill", "decode"],
  });
  for (const id of ["a", "b", "c", "d", "e"]) {
    const headers = [`test-id: ${id}`, "test-tokens: 9000"];
    const seen = await exchange(relay.port, request({ headers }));
    expect(seen).toContain(`data: ${id}`);
  }
  for (const [id, handle] of fetched) expect(handle).toBe(`prompt-${id}`);
  // A copy ends its connection, so that the next answer is in step again.
  expect(fetched.length).toBeGreaterThanOrEqual(3);
});

/** Repeats the last response of a connection before each new one. */
function repeatLast(respondTo: (head: string) => string): Script {
  return ({ socket, head }) => {
    const response = respondTo(head);
    socket.write((lastResponses.get(socket) ?? "") + response);
    lastResponses.set(socket, response);
  };
}

// Guards against answers to requests without an id that reach one another: their
// copies name no request (review/1, related path).
test("a copy to a request without id reaches no other one", async () => {
  const script = repeatLast((head) =>
    answer("200 OK", [], `for ${/test-mark: (\w+)/.exec(head)?.[1]}`)
  );
  servers = [await startServer(script)];
  relay = await startRelay({ servers, route: { kind: "at_most_once" } });
  for (const mark of ["a", "b", "c"]) {
    const text = request({ method: "POST", headers: [`test-mark: ${mark}`] });
    const seen = await exchange(relay.port, text);
    expect(seen).toMatch(new RegExp(`for ${mark}$`));
  }
});

// Guards against a second send that is answered by the copy of the first answer
// under the same id (review/1, related path).
test("a copy is not taken for the answer to a second send", async () => {
  const ran: string[] = [];
  const script = repeatLast((head) => {
    const id = idOf(head);
    if (lastAnswered === id) {
      ran.push(id);
      return responseTo(id);
    }
    lastAnswered = id;
    return refusalOf(id);
  });
  let lastAnswered: string | undefined;
  servers = [await startServer(script)];
  relay = await startRelay({
    servers,
    route: { kind: "at_most_once", maxAttempts: 1 },
  });
  const text = request({ method: "POST", headers: ["test-id: a"] });
  expect(await exchange(relay.port, text)).toMatch(/^HTTP\/1\.1 503 /);
  expect(await exchange(relay.port, text)).toMatch(/for a$/);
  expect(ran).toEqual(["a"]);
});

/** Sends a charge under an id and returns the raw reply. */
function charge(id: string): Promise<string> {
  const headers = [`test-id: ${id}`];
  return exchange(
    relay!.port,
    request({ method: "POST", body: "charge", headers }),
  );
}

const bareRefusal = answer("503 Full", ["test-not-run: 1"], "");
const doubleIdRefusal = (id: string, other: string) =>
  answer(
    "503 Full",
    [`test-id: ${id}`, `test-id: ${other}`, "test-not-run: 1"],
    "",
  );

/** Ways in which a server repeats the refusal of the request before. */
const refusalCopies: {
  readonly name: string;
  /** Writes the answer to a later request, with the copy of the refusal. */
  readonly write: (
    socket: Socket,
    copied: { readonly refused: string; readonly id: string },
  ) => void;
}[] = [
  {
    name: "in one packet with the answer",
    write: (socket, { refused, id }) =>
      socket.write(refusalOf(refused) + responseTo(id)),
  },
  {
    name: "long before the answer",
    write: (socket, { refused, id }) => {
      socket.write(refusalOf(refused));
      setTimeout(() => socket.write(responseTo(id)), copyDelay);
    },
  },
  {
    name: "after an interim response",
    write: (socket, { refused, id }) =>
      socket.write(interim + refusalOf(refused) + responseTo(id)),
  },
  {
    name: "with the answer's interim response behind it",
    write: (socket, { refused, id }) =>
      socket.write(refusalOf(refused) + interim + responseTo(id)),
  },
  {
    name: "twice",
    write: (socket, { refused, id }) =>
      socket.write(
        refusalOf(refused) + refusalOf(refused) + responseTo(id),
      ),
  },
  {
    name: "with its id in upper case",
    write: (socket, { refused, id }) =>
      socket.write(
        refusalOf(refused.toUpperCase()) + responseTo(id),
      ),
  },
  {
    name: "with the header's name in upper case",
    write: (socket, { refused, id }) =>
      socket.write(
        refusalOf(refused).replace("test-id", "TEST-ID") + responseTo(id),
      ),
  },
  {
    name: "without an id",
    write: (socket, { id }) => socket.write(bareRefusal + responseTo(id)),
  },
  {
    name: "with an empty id",
    write: (socket, { id }) => socket.write(refusalOf("") + responseTo(id)),
  },
  {
    name: "with its id before that of the request",
    write: (socket, { refused, id }) =>
      socket.write(doubleIdRefusal(refused, id) + responseTo(id)),
  },
  {
    name: "with its id behind that of the request",
    write: (socket, { refused, id }) =>
      socket.write(doubleIdRefusal(id, refused) + responseTo(id)),
  },
  {
    name: "with both ids in one header",
    write: (socket, { refused, id }) =>
      socket.write(refusalOf(`${id}, ${refused}`) + responseTo(id)),
  },
  {
    name: "cut into two packets",
    write: (socket, { refused, id }) => {
      const copy = refusalOf(refused);
      socket.write(copy.slice(0, 30));
      setTimeout(
        () => socket.write(copy.slice(30) + responseTo(id)),
        copyDelay,
      );
    },
  },
];

// Guards against requests that run and are answered as not run, or that run at a
// second server, by a copy of an earlier refusal.
test.each(refusalCopies)(
  "a refusal repeated $name is not taken for an answer",
  async ({ write }) => {
    const ran: string[] = [];
    const refusedBy = new WeakMap<Socket, string>();
    const script: Script = ({ socket, head }) => {
      const id = idOf(head);
      const refused = refusedBy.get(socket);
      if (refused === undefined) {
        refusedBy.set(socket, id);
        socket.write(refusalOf(id));
        return;
      }
      ran.push(id);
      write(socket, { refused, id });
    };
    servers = await Promise.all([startServer(script), startServer(script)]);
    relay = await startRelay({
      servers,
      route: { kind: "at_most_once", maxAttempts: 2 },
    });
    const ids = ["aa", "bb", "cc", "dd", "ee", "ff"];
    for (const id of ids) {
      const seen = await charge(id);
      const runs = ran.filter((other) => other === id).length;
      expect([id, runs]).toEqual([id, Math.min(runs, 1)]);
      // A request that ran has its own answer, or may have run.
      if (runs > 0) expect(seen).toMatch(/^HTTP\/1\.1 (200|502) /);
      if (seen.startsWith("HTTP/1.1 200")) {
        expect(seen).toMatch(new RegExp(`for ${id}$`));
      }
    }
    expect(ran.length).toBeGreaterThan(0);
  },
);

/** When a server that has answered repeats the refusal before that. */
const idleCopies: { name: string; delay: number }[] = [
  { name: "with the refusal", delay: 0 },
  { name: "while the connection is idle", delay: copyDelay },
  { name: "about when the next request is sent", delay: callerInterval },
];

// Guards against copies that arrive before the request that they seem to answer:
// it must run at most once, and not be refused when it runs.
test.each(idleCopies)(
  "a refusal repeated $name does not reach the next request",
  async ({ delay }) => {
    const ran: string[] = [];
    const refusedIds = new Set<string>();
    const script: Script = ({ socket, head, count }) => {
      const id = idOf(head);
      if (count % 2 === 0) {
        ran.push(id);
        socket.write(responseTo(id));
        return;
      }
      refusedIds.add(id);
      const copy = refusalOf(id);
      if (delay === 0) return void socket.write(copy + copy);
      socket.write(copy);
      setTimeout(() => socket.write(copy), delay);
    };
    servers = [await startServer(script)];
    relay = await startRelay({
      servers,
      route: { kind: "at_most_once", maxAttempts: 1 },
    });
    for (const id of ["a", "b", "c", "d", "e", "f"]) {
      const seen = await charge(id);
      const runs = ran.filter((other) => other === id).length;
      expect(runs).toBeLessThanOrEqual(1);
      if (runs === 1) expect(seen).toMatch(/^HTTP\/1\.1 (200|502) /);
      if (seen.startsWith("HTTP/1.1 503")) expect(runs).toBe(0);
      await delayMilliseconds(callerInterval - 5);
    }
    expect(ran.length).toBeGreaterThan(0);
  },
);

// Guards against the copy of a refusal that is taken for the answer to a prefill:
// the prompt would count as not computed, or as another request's.
test("a copy of a refused prefill is not taken for the next one", async () => {
  const fetched: [id: string, handle: string][] = [];
  const prefillServer = await startServer(({ socket, head, count }) => {
    const id = idOf(head);
    const copy = lastResponses.get(socket) ?? "";
    const refuses = count % 2 === 1;
    const response = refuses
      ? refusalOf(id)
      : answer("200 OK", [`test-id: ${id}`], `prompt-${id}`);
    socket.write(copy + response);
    lastResponses.set(socket, response);
  });
  const decodeServer = await startServer(({ socket, head }) => {
    const id = idOf(head);
    const handle = /test-export: (\S+)/.exec(head)?.[1];
    if (handle !== undefined) fetched.push([id, handle]);
    socket.write(
      answer("200 OK", [`test-id: ${id}`], `id: 1\ndata: ${id}\n\n`),
    );
  });
  servers = [prefillServer, decodeServer];
  relay = await startRelay({
    servers,
    route: { kind: "stream", maxAttempts: 1 },
    settings: { shareEngineState: true },
    roles: ["prefill", "decode"],
  });
  for (const id of ["a", "b", "c", "d", "e", "f"]) {
    const headers = [`test-id: ${id}`, "test-tokens: 9000"];
    const seen = await exchange(relay.port, request({ headers }));
    expect(seen).toContain(`data: ${id}`);
  }
  expect(decodeServer.received).toHaveLength(6);
  for (const [id, handle] of fetched) expect(handle).toBe(`prompt-${id}`);
});

// Guards against a second send under an id that is answered by the copy of the
// refusal of the first, in each of the following sends.
test("copies of refusals do not answer sends under the same id", async () => {
  const ran: string[] = [];
  const script = repeatLast((head) => {
    const id = idOf(head);
    if (servers[0]!.received.length % 2 === 1) return refusalOf(id);
    ran.push(id);
    return responseTo(id);
  });
  servers = [await startServer(script)];
  relay = await startRelay({
    servers,
    route: { kind: "at_most_once", maxAttempts: 1 },
  });
  const statuses: string[] = [];
  for (let send = 0; send < 6; send += 1) {
    statuses.push((await charge("a")).slice(9, 12));
  }
  expect(statuses).toEqual(["503", "200", "503", "200", "503", "200"]);
  expect(ran).toEqual(["a", "a", "a"]);
});

// Guards against requests on the connection of a cancelled one, whose refusal or
// its copy is still due.
test("refusals of a cancelled request reach no other request", async () => {
  const ran: string[] = [];
  const script: Script = ({ socket, head }) => {
    const id = idOf(head);
    if (id.startsWith("gone")) {
      setTimeout(() => socket.write(refusalOf(id)), copyDelay);
      setTimeout(() => socket.write(refusalOf(id)), callerInterval);
      return;
    }
    ran.push(id);
    setTimeout(() => socket.write(responseTo(id)), copyDelay);
  };
  servers = [await startServer(script)];
  relay = await startRelay({
    servers,
    route: { kind: "at_most_once", maxAttempts: 2 },
  });
  for (const id of ["a", "b", "c"]) {
    const headers = [`test-id: gone${id}`];
    const text = request({ method: "POST", body: "charge", headers });
    const cancelled = connect(relay.port, "127.0.0.1", () => {
      cancelled.write(text);
      setTimeout(() => cancelled.destroy(), copyDelay / 2);
    });
    await delayMilliseconds(copyDelay / 2 + 5);
    expect(await charge(id)).toMatch(new RegExp(`for ${id}$`));
  }
  expect(ran).toEqual(["a", "b", "c"]);
});
