/**
 * How requests, answers and servers speak; one class for each platform.
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
  /** Headers of the body; the meant server is named by the attempt's. */
  readonly headers?: HeaderList;
  readonly body?: string;
}

/** What an answer to an order says. */
export type OrderOutcome = "accepted" | "refused" | "unclear";

/** Translates between headers on the wire and what the relay knows. */
export abstract class Dialect {
  /** What a caller's headers say. */
  abstract readRequest(headers: HeaderList): RequestMetadata;

  /**
   * Headers for a server: the caller's without those that only concern its
   * connection, and what the relay says with this attempt.
   */
  abstract attemptHeaders(
    headers: HeaderList,
    attempt: AttemptMetadata,
  ): string[];

  /** What the head of a server's answer says. */
  abstract readAnswer(status: number, headers: HeaderList): ResponseMetadata;

  /** Handle in the answer to a `prefill` step; undefined when unreadable. */
  abstract parseExportHandle(body: Uint8Array): string | undefined;

  /** Call that frees an export that nobody will fetch. */
  abstract buildExportRelease(exported: PromptExport): ServerCall;

  /** Call that asks an engine for its state. */
  abstract buildStateRequest(): ServerCall;

  /** State of an engine; undefined when the answer is unreadable. */
  abstract readState(body: Uint8Array): EngineState | undefined;

  /** Call that orders an engine to change its role. */
  abstract buildRoleOrder(order: RoleOrder): ServerCall;

  /** What the status of an answer to an order says. */
  abstract parseOrderOutcome(status: number): OrderOutcome;
}
