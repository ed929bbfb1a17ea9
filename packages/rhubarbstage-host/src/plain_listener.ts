/**
 * Plain-text HTTP listener for readiness and metrics.
 *
 * @module
 */

import { createServer, type Server } from "node:http";
import {
  announcesBody,
  CallerConnections,
  dropRequestBody,
} from "rhubarbstage";

/** Connections at the same time: a few readers, and a reserve. */
const maxConnections = 64;

/**
 * Calls `answer` for any path and method; closing drops connections. Throws if
 * the address is in use.
 */
export async function listenPlainText(
  endpoint: { readonly address: string; readonly port: number },
  answer: () =>
    | { status: number; body: string }
    | Promise<{ status: number; body: string }>,
): Promise<{ close(): Promise<void> }> {
  const connections = new CallerConnections({ maxConnections });
  const { scheduler } = connections;
  const server: Server = createServer(async (request, response) => {
    if (announcesBody(request)) dropRequestBody(request, { scheduler });
    const { status, body } = await answer();
    response.writeHead(status, { "content-type": "text/plain" }).end(body);
  });
  connections.attach(server);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(endpoint.port, endpoint.address, resolve);
  });
  return {
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}
