/**
 * Process settings and the settings tree.
 *
 * @module
 */

export type {
  BranchFields,
  CustomerBranch,
  EffectiveSettings,
  Endpoint,
  ExplainedSetting,
  KindBranch,
  Limit,
  ListenAddresses,
  LogLevel,
  LogSettings,
  PeerHost,
  PoolFields,
  PoolSettings,
  ProcessSettings,
  RegionBranch,
  Route,
  RouteFields,
  ServiceBranch,
  ServiceSettings,
  ServiceType,
  SettingsPath,
  TimelineSettings,
  TlsFiles,
  TokenFiles,
  TreeDifference,
  TreeDocument,
  TreeEdit,
  TreeOperation,
  WhenIsolated,
} from "./types.ts";
export { defaultPoolSettings, defaultSettings } from "./constants.ts";
export type { SettingsProblem } from "./errors.ts";
export { formatProblem, SettingsError } from "./errors.ts";
export type { ProcessSettingsOptions } from "./process_settings.ts";
export {
  loadProcessSettings,
  parseProcessSettings,
} from "./process_settings.ts";
export type { Token } from "./tokens.ts";
export { findToken, hashKey, loadTokens, parseTokens } from "./tokens.ts";
export { splitPath } from "./tree_path.ts";
export {
  checkTree,
  findTreeProblems,
  loadTree,
  parseTree,
} from "./tree_document.ts";
export {
  applyCheckedOperations,
  applyOperations,
  diffTrees,
  toOperations,
  valueAtPath,
} from "./tree_edit.ts";
export { formatYaml, parseYamlValue } from "./yaml_source.ts";
export { SettingsTree } from "./settings_tree.ts";
export { findRoute } from "./routes.ts";
export type {
  BackendsAnswer,
  BackendStatus,
  BootstrapAnswer,
  BootstrapRequest,
  DrainAnswer,
  DrainRequest,
  EditAnswer,
  EditRequest,
  EffectiveAnswer,
  ErrorBody,
  GroupStatus,
  HistoryAnswer,
  HistoryEntry,
  HostStatus,
  OpenOrder,
  OrderEndAnswer,
  OrderEndRequest,
  RepairAnswer,
  RepairRequest,
  SeatStatus,
  StatusAnswer,
  TimelineAnswer,
  TimelineAnswerEvent,
  TimelineScope,
  TreeAnswer,
} from "./operator_api.ts";
export { operatorPaths } from "./operator_api.ts";
