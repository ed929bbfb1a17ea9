/**
 * Types of the gateway and its dispatcher.
 *
 * @module
 */

import type {
  GenerationEndpoint,
  GenerationEvent,
  JsonObject,
} from "@rhubarbstage/engine";
import type { PolicyEvent, Work } from "@rhubarbstage/policy";

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown
  ? Omit<Union, Key>
  : never;

/** A policy event without its time, which the dispatcher adds. */
export type PolicyInput = DistributiveOmit<PolicyEvent, "now">;

/** Generation events with output or token counts for the caller. */
export type OutputEvent = Extract<
  GenerationEvent,
  { type: "tokens" | "part" | "usage" }
>;

/** A generation requested by a caller. */
export interface Generation {
  readonly work: Work;
  readonly endpoint: GenerationEndpoint;
  readonly body: JsonObject;
  /** Creation time of the response, in seconds since the Unix epoch. */
  readonly created: number;
}

/** Token counts of a completed generation. */
export interface GenerationResult {
  readonly promptTokens: number;
  readonly outputTokens: number;
}
