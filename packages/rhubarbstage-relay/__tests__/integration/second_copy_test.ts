/**
 * Servers that send a second copy of a response on a connection that is or will
 * be in use again. No caller may get a response that is not its own.
 */

import type { Socket } from "node:net";
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
