/**
 * Wire format of requests, responses and server calls; one subclass of `Dialect`
 * for each set of header names and server endpoints.
 *
 * @module
 */

import type {
  AttemptMetadata,
  EngineState,
  HeaderList,
  PromptExport,
  RequestMetadata,
  ResponseMetadata,
  RoleOrder,
} from "./types.ts";

/** A call to a server that is not a caller's request. */
export interface ServerCall {
  readonly method: string;
  readonly path: string;
  /** Body headers; `attemptHeaders` adds those naming the intended server. */
  readonly headers?: HeaderList;
  readonly body?: string;
}

/** Outcome of an order, derived from the response to it. */
export type OrderOutcome = "accepted" | "refused" | "unclear";

/** Converts between headers on the wire and the relay's types. */
export abstract class Dialect {
  /** Parses the headers of a caller's request. */
  abstract parseRequest(headers: HeaderList): RequestMetadata;

  /**
   * Builds the headers for a server: the caller's end-to-end headers and the
   * metadata of this attempt. Must remove the credential if the attempt names the
   * caller.
   */
  abstract attemptHeaders(
    headers: HeaderList,
    attempt: AttemptMetadata,
  ): string[];

  /** Parses the head of a server's response. */
  abstract parseResponse(status: number, headers: HeaderList): ResponseMetadata;

  /** Parses the handle returned by a `prefill` step; undefined if malformed. */
  abstract parseExportHandle(body: Uint8Array): string | undefined;

  /** Builds the call that frees an export that will not be fetched. */
  abstract buildExportRelease(exported: PromptExport): ServerCall;

  /** Builds the call that queries the state of an engine. */
  abstract buildStateRequest(): ServerCall;

  /** Parses the state of an engine; undefined if malformed. */
  abstract parseState(body: Uint8Array): EngineState | undefined;

  /** Builds the call that orders an engine to change its role. */
  abstract buildRoleOrder(order: RoleOrder): ServerCall;

  /** Maps the status of the response to an order to its outcome. */
  abstract parseOrderOutcome(status: number): OrderOutcome;
}
