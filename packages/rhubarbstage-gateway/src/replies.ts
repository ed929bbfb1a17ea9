/**
 * Sends responses that are not streams.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import type { RhubarbstageError } from "rhubarbstage";
import { requestIdHeader } from "./constants.ts";
import { errorBody, errorHeaders } from "./errors.ts";

/** Sends an error response unless a response was sent already. */
export function sendError(reply: FastifyReply, error: RhubarbstageError): void {
  if (reply.sent || reply.raw.destroyed) return;
  const { id } = reply.request;
  reply.code(error.status).headers(errorHeaders(error, id))
    .send(errorBody(error, id));
}

/** Sends a JSON body with status 200. */
export function sendJson(reply: FastifyReply, body: string): void {
  reply.code(200).headers({
    "content-type": "application/json; charset=utf-8",
    [requestIdHeader]: reply.request.id,
  }).send(body);
}
