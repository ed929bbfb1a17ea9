/**
 * Admission, limits, routing, retries and roles as a pure reducer.
 *
 * @module
 */

export type { NaiveOptions, NaiveState } from "./naive_policy.ts";
export { NaivePolicy } from "./naive_policy.ts";
export { Policy } from "./policy.ts";
export type {
  BackendServer,
  BackendServerLoad,
  Demand,
  EngineRole,
  PolicyEffect,
  PolicyEvent,
  QuarantineMark,
  Work,
  WorkSettings,
} from "./types.ts";
