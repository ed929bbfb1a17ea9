/**
 * Admission, limits, routing, retries and roles as a pure reducer.
 *
 * @module
 */

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
