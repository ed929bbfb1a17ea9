/**
 * Admission, limits, routing, retries and engine roles as a pure reducer.
 *
 * @module
 */

export { defaultFleetSettings } from "./constants.ts";
export { FleetPolicy } from "./fleet_policy.ts";
export type { FleetSettings } from "./fleet_settings.ts";
export type { FleetOptions, FleetState } from "./fleet_state.ts";
export type { NaiveOptions, NaiveState } from "./naive_policy.ts";
export { NaivePolicy } from "./naive_policy.ts";
export { maxHoldFraction } from "./placement_competition.ts";
export { Policy } from "./policy.ts";
export { PrefixMap } from "./prefix_map.ts";
export { budgetScopeOf, isCancellable, startDeadlineOf } from "./types.ts";
export type {
  AnswerOrigin,
  BackendServer,
  BackendServerLoad,
  CancelReason,
  CostQuantity,
  CustomerDemand,
  EngineRole,
  EngineWork,
  EngineWorkEffect,
  EngineWorkEnd,
  ModelDemand,
  PartMark,
  Placement,
  PlacementQuery,
  PolicyEffect,
  PolicyEvent,
  PromptPart,
  QuarantineMark,
  RequestLimitReport,
  ServerNotice,
  Work,
  WorkFigures,
  WorkSettings,
} from "./types.ts";
