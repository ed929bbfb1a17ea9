/**
 * Stops and starts reads from the connection of one request.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";

const readNothing = () => {};
/** Read functions of the requests whose connections are not read. */
const stoppedReads = new WeakMap<IncomingMessage, IncomingMessage["_read"]>();

/**
 * Stops reading the connection of a request. Chunks of the read that is under way
 * still arrive; `IncomingMessage.pause` would keep each of them as a buffer.
 */
export function stopReading(incoming: IncomingMessage): void {
  if (stoppedReads.has(incoming)) return;
  stoppedReads.set(incoming, incoming._read);
  // The stream asks for more after each chunk, which would resume the connection.
  incoming._read = readNothing;
  incoming.socket.pause();
}

/** Undoes {@linkcode stopReading}. */
export function startReading(incoming: IncomingMessage): void {
  const read = stoppedReads.get(incoming);
  if (read === undefined) return;
  stoppedReads.delete(incoming);
  incoming._read = read;
  incoming._read(0);
}
