/** Each request that begins is reported to end once, whatever its outcome. */

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

let server: TestServer | undefined;
let relay: TestRelay | undefined;

afterEach(async () => {
  await relay?.close();
  await server?.close();
});

// Guards against a load that rises with each request that fails.
test.each<[string, Script, string | undefined]>([
  [
    "is served",
    ({ socket }) => void socket.write(answer("200 OK", [], "done")),
    undefined,
  ],
  ["fails", ({ socket }) => void socket.destroy(), "backend_failed"],
  [
    "is refused",
    ({ socket }) =>
      void socket.write(answer("503 Full", ["test-not-run: 1"], "")),
    expect.any(String) as unknown as string,
  ],
])("a request that %s ends once", async (_name, script, error) => {
  const changes: [1 | -1, string | undefined][] = [];
  server = await startServer(script);
  relay = await startRelay({
    servers: [server],
    route: { kind: "at_most_once" },
    onRunning: (change, kind) => changes.push([change, kind]),
  });
  await exchange(relay.port, request({ method: "POST", body: "charge" }));
  expect(changes).toEqual([[1, undefined], [-1, error]]);
});
