/** Answers of services whose status is none. */

import { createServer, type Server } from "node:net";
import type { AddressInfo } from "node:net";
import { sendOnce } from "../../src/single_send.ts";

let server: Server;

async function listen(status: string): Promise<string> {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once(
      "data",
      () =>
        socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 3\r\n\r\nodd`),
    );
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => void server.close());

const request = {
  method: "POST",
  path: "/",
  headers: {},
  body: Buffer.from("charge"),
};

// Guards against a status that is none and is kept as the outcome of a call.
test.each(["000", "099", "600", "20"])(
  "status %s leaves the outcome unknown",
  async (status) => {
    const address = await listen(status);
    const result = await sendOnce(address, request, {
      mayWrite: () => true,
      maxResponseBytes: 1_000,
      responseTimeout: 5_000,
    });
    expect(result.type).toBe("unknown");
  },
);

// Guards against a truncated answer that is kept as the outcome of a call.
test("a part that is cut during the upload leaves the outcome unknown", async () => {
  server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.pause();
      socket.write("HTTP/1.1 200 OK\r\n\r\npart", () => socket.end());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const body = Buffer.alloc(20_000_000);
  const result = await sendOnce(
    `http://127.0.0.1:${port}`,
    { ...request, body },
    { mayWrite: () => true, maxResponseBytes: 1_000, responseTimeout: 5_000 },
  );
  expect(result.type).toBe("unknown");
});
