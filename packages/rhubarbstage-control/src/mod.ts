/**
 * Control state, claim journal and orders to engines, with their clients.
 *
 * @module
 */

export type {
  AgreedUsage,
  CallOptions,
  ClaimView,
  Configuration,
  ConfigurationClientOptions,
  Confirmation,
  ConfirmationRequest,
  ControlCommand,
  ControlGroup,
  ControlResult,
  DocumentAnswer,
  DocumentRequest,
  Drain,
  DutyRecord,
  Edit,
  EditClientOptions,
  EditLookup,
  EditResult,
  EngineAnnouncement,
  EngineStatus,
  EngineTarget,
  HistoryEntry,
  HostProcess,
  IntentResult,
  JournalCommand,
  JournalGroup,
  JournalLimits,
  JournalResult,
  Order,
  OrderEnding,
  OrderExecutorOptions,
  OrderIntent,
  OrderKind,
  OrderReport,
  OrderSendResult,
  StoredAnswer,
  Tree,
  TreeOperation,
  TreePath,
  TreeValidator,
  TreeValue,
  UsageAgreementResult,
  UsageAgreements,
  UsageCounts,
  VersionedDocument,
} from "./types.ts";
export type { DocumentClientOptions } from "./document_client.ts";
export { DocumentClient } from "./document_client.ts";
export { OrderConnection, OrderConnector } from "./types.ts";
export {
  answerRetention,
  maxConfirmationAge,
  storedBodyByteLimit,
} from "./constants.ts";
export { RevisionConflictError } from "./errors.ts";
export { applyOperations, isBranch, TreeOperationError } from "./tree.ts";
export type { ControlState } from "./control_state.ts";
export {
  controlQueries,
  ControlStateMachine,
} from "./control_state_machine.ts";
export type { JournalState } from "./journal_state.ts";
export {
  journalQueries,
  JournalStateMachine,
} from "./journal_state_machine.ts";
export { callUntilSuccess, callWithRetry } from "./group_calls.ts";
export { ConfigurationClient } from "./configuration_client.ts";
export type { DrainChange } from "./edit_client.ts";
export { EditClient } from "./edit_client.ts";
export { OrderExecutor } from "./order_executor.ts";
export type {
  ClaimAttempt,
  ClaimJournalOptions,
  ClaimKeyFields,
} from "./claim_journal.ts";
export {
  ClaimJournal,
  claimKeyOf,
  journalGroupNumberOf,
} from "./claim_journal.ts";
