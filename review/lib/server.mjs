// A raw HTTP/1.1 server as a stand-in for a backend server.
import { createServer } from "node:net";

export class RawServer {
  // handle({ id, method, path, headers, body, socket, connection }) answers one
  // request and resolves when its answer is written; one at a time a connection.
  static async listen(host, handle, port = 0) {
    const server = new RawServer();
    server.sockets = new Set();
    server.connections = 0;
    server.listener = createServer((socket) => {
      socket.setNoDelay(true);
      server.sockets.add(socket);
      server.connections += 1;
      const connection = { number: server.connections, requests: 0, closed: false };
      socket.on("error", () => {});
      socket.on("close", () => {
        connection.closed = true;
        server.sockets.delete(socket);
      });
      let bytes = Buffer.alloc(0);
      let chain = Promise.resolve();
      socket.on("data", (chunk) => {
        bytes = Buffer.concat([bytes, chunk]);
        for (;;) {
          while (bytes.length >= 2 && bytes[0] === 13 && bytes[1] === 10) bytes = bytes.subarray(2);
          const end = bytes.indexOf("\r\n\r\n");
          if (end < 0) return;
          const [first, ...lines] = bytes.subarray(0, end).toString("latin1").split("\r\n");
          const headers = {};
          for (const line of lines) {
            const colon = line.indexOf(":");
            headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
          }
          const length = Number(headers["content-length"] ?? 0);
          if (bytes.length < end + 4 + length) return;
          const body = bytes.subarray(end + 4, end + 4 + length).toString("latin1");
          bytes = bytes.subarray(end + 4 + length);
          const [method, path] = first.split(" ");
          connection.requests += 1;
          const id = headers["x-rhubarbstage-request-id"];
          const received = { id, method, path, headers, body, socket, connection };
          chain = chain.then(() => handle(received)).catch(() => {});
        }
      });
    });
    await new Promise((resolve) => server.listener.listen(port, host, resolve));
    server.address = `${host}:${server.listener.address().port}`;
    return server;
  }

  async close() {
    for (const socket of this.sockets) socket.destroy();
    await new Promise((resolve) => this.listener.close(resolve));
  }
}

// Bytes of one answer with a length.
export function answerBytes(status, headers, body = "") {
  const reasons = { 200: "OK", 421: "Misdirected Request", 503: "Service Unavailable" };
  const lines = [`HTTP/1.1 ${status} ${reasons[status] ?? "Answer"}`];
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`);
  lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  return Buffer.from(`${lines.join("\r\n")}\r\n\r\n${body}`, "latin1");
}
