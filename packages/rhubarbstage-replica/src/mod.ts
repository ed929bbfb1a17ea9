/**
 * Replicated groups: consensus over durable storage and a transport.
 *
 * @module
 */

export type { GroupCallOptions } from "./replicated_group.ts";
export { ReplicatedGroup } from "./replicated_group.ts";
export { StateMachine } from "./state_machine.ts";
export type {
  AnyGroupDefinition,
  AppliedCommand,
  GroupDefinition,
  GroupStatus,
  Leadership,
  Query,
  ReplicaStatus,
  SeatStatus,
} from "./types.ts";
export { GroupReplica } from "./group_replica.ts";
export type { InMemoryGroupOptions } from "./in_memory_group.ts";
export { InMemoryGroup } from "./in_memory_group.ts";
export type { GroupClientOptions } from "./group_client.ts";
export { GroupClient } from "./group_client.ts";
export type { LeaderCallerOptions } from "./leader_caller.ts";
export type { ForwardedAnswer, ForwardedCall } from "./forward.ts";
export { forwardRequest } from "./forward.ts";
export type {
  BootstrapOptions,
  RepairOptions,
  ReplicaOptions,
} from "./options.ts";
export { Replica } from "./replica.ts";
export type { SeatReconcilerOptions } from "./seat_reconciler.ts";
export { SeatReconciler } from "./seat_reconciler.ts";
