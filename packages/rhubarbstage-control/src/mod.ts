/**
 * Control state, claim journal and orders to engines, with their clients.
 *
 * @module
 */

export type {
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
  Edit,
  EditClientOptions,
  EditLookup,
  EditResult,
  EngineReport,
  EngineStatus,
  EngineTarget,
  HistoryEntry,
  IntentResult,
  JournalBounds,
  JournalCommand,
  JournalGroup,
  JournalResult,
  KeptAnswer,
  Order,
  OrderAnswer,
  OrderEnding,
  OrderExecutorOptions,
  OrderIntent,
  OrderKind,
  OrderReport,
  Sender,
  Tree,
  TreeOperation,
  TreePath,
  TreeValidator,
  TreeValue,
  VersionedDocument,
} from "./types.ts";
export type { DocumentClientOptions } from "./document_client.ts";
export { DocumentClient } from "./document_client.ts";
export { OrderConnection, OrderConnector } from "./types.ts";
export { answerRetention, isolationAge, keptBodyLimit } from "./constants.ts";
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
export { callRepeatedly, callUntilDone } from "./group_calls.ts";
export { ConfigurationClient } from "./configuration_client.ts";
export type { DrainRequest } from "./edit_client.ts";
export { EditClient } from "./edit_client.ts";
export { OrderExecutor } from "./order_executor.ts";
export type {
  Claim,
  ClaimJournalOptions,
  ClaimSubject,
} from "./claim_journal.ts";
export { ClaimJournal, claimKeyOf, groupNumberOf } from "./claim_journal.ts";
