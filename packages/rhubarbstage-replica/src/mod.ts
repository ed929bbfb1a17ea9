/**
 * Runtime of replicated groups: consensus over storage and transport.
 *
 * @module
 */

export type { GroupCallOptions } from "./replicated_group.ts";
export { ReplicatedGroup } from "./replicated_group.ts";
export { StateMachine } from "./state_machine.ts";
