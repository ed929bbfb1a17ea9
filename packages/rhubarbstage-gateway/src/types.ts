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

/** An event for the policy; the dispatcher adds the time. */
export type PolicyInput = DistributiveOmit<PolicyEvent, "now">;

/** Events of a generation that carry a part of the answer. */
export type AnswerEvent = Extract<
  GenerationEvent,
  { type: "tokens" | "part" | "usage" }
>;

/** A generation that a caller asked for. */
export interface Generation {
  readonly work: Work;
  readonly endpoint: GenerationEndpoint;
  readonly body: JsonObject;
  /** Creation time of the answer, in seconds since the Unix epoch. */
  readonly created: number;
}

/** How a generation ended. */
export interface GenerationResult {
  readonly promptTokens: number;
  readonly outputTokens: number;
}
