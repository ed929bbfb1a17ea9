/**
 * Membership of hosts and backend servers: announcements, gossip, freshness of
 * evidence, and demand over all hosts.
 *
 * @module
 */

export * as membershipConstants from "./constants.ts";
export type {
  DemandRates,
  DemandRow,
  DemandSubject,
} from "./demand_exchange.ts";
export { DemandAggregate, pickAggregator } from "./demand_exchange.ts";
export { MembershipTransport } from "./membership_transport.ts";
export type {
  CacheChange,
  HostView,
  MembershipListener,
  MembershipOptions,
  ServerCheckAnswer,
  ServerView,
} from "./membership.ts";
export { Membership } from "./membership.ts";
export type { MembershipReducerOptions } from "./membership_reducer.ts";
export { checkServerRecord, maxCapacity } from "./record_checks.ts";
export { MembershipReducer } from "./membership_reducer.ts";
export { selectNeighbours } from "./neighbours.ts";
export type { MembershipState, TrackedServer } from "./state.ts";
export type {
  GossipMessage,
  HostRecord,
  MembershipEffect,
  MembershipEvent,
  ServerLoad,
  ServerRecord,
  SharedPartMark,
  SharedQuarantineMark,
  SharedRequestLimit,
} from "./types.ts";
export type { WireGossipMessage } from "./wire.ts";
export { decodeGossipMessage, encodeGossipMessage } from "./wire.ts";
