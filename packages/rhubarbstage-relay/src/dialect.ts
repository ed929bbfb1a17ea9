/**
 * How requests, answers and servers speak; one class for each platform.
 *
 * @module
 */

import type {
  AnswerTraits,
  AttemptTraits,
  HeaderList,
  PromptExport,
  RequestTraits,
} from "./types.ts";

/** A call to a server that is not a caller's request. */
export interface ServerCall {
  readonly method: string;
  readonly path: string;
}

/** Translates between headers on the wire and what the relay knows. */
export abstract class Dialect {
  /** What a caller's headers say. */
  abstract readRequest(headers: HeaderList): RequestTraits;

  /**
   * Headers for a server: the caller's without those that only concern its
   * connection, and what the relay says with this attempt.
   */
  abstract attemptHeaders(
    headers: HeaderList,
    attempt: AttemptTraits,
  ): string[];

  /** What the head of a server's answer says. */
  abstract readAnswer(status: number, headers: HeaderList): AnswerTraits;

  /** Handle in the answer to a `prefill` step; undefined when unreadable. */
  abstract readExport(body: Uint8Array): string | undefined;

  /** Call that frees an export that nobody will fetch. */
  abstract freeExport(exported: PromptExport): ServerCall;
}
