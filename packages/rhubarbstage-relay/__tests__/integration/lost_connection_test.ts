/**
 * A server that resets a request and then refuses connections, as one that has
 * ended does, or one whose path this host has lost.
 */

import {
  exchange,
  request,
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

// Guards against a host that is cut off and makes its callers' requests suspects
// of crashing the servers that it does not reach.
test.each([true, false])(
  "a lost connection counts as the server's end only if that is confirmed: %s",
  async (isEnded) => {
    server = await startServer(({ socket }) => {
      socket.resetAndDestroy();
      void server?.close();
    });
    relay = await startRelay({
      servers: [server],
      route: { kind: "at_most_once" },
      confirmServerEnded: () => Promise.resolve(isEnded),
    });
    const notify = jest.spyOn(relay.dispatcher, "notify");
    const answer = await exchange(relay.port, request({ method: "POST" }));
    expect(answer).toMatch(/^HTTP\/1\.1 502 /);
    const failures = notify.mock.calls
      .map(([event]) => event)
      .filter(({ type }) => type === "failed");
    expect(failures).toMatchObject([{
      outcome: "may_have_run",
      connectionLost: isEnded,
    }]);
  },
);
