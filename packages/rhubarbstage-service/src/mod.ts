/**
 * Calls to plain services, with at-most-once execution through the journal.
 *
 * @module
 */

export type {
  ClaimedCall,
  ClaimEvent,
  ClaimRunnerOptions,
  RepeatableCallOptions,
  ServiceRequest,
  ServiceResponse,
  ServiceTarget,
  StreamedResponse,
  TargetResult,
} from "./types.ts";
export { ClaimRunner, requestHashOf } from "./claim_runner.ts";
export { RepeatableClient } from "./repeatable_client.ts";
