/** Timeouts of the listener for callers. */

import { Server } from "node:http";
import { startRelay } from "../harness.ts";

/** Time in which a request must have been sent, in milliseconds. */
const requestTimeout = 30_000;

// Guards against requests whose sending stalls, which stay open without end and
// hold up a stop for its whole grace period.
test("the timeout for receiving a whole request is in force", async () => {
  const listen = jest.spyOn(Server.prototype, "listen");
  const relay = await startRelay({ servers: [] });
  const [server] = listen.mock.contexts as Server[];
  listen.mockRestore();
  const inForce = server?.requestTimeout;
  await relay.close();
  expect(inForce).toBe(requestTimeout);
});
