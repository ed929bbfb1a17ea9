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
export { MembershipLink } from "./link.ts";
export type {
  CacheChange,
  HostView,
  MembershipListener,
  MembershipOptions,
  ServerCheck,
  ServerView,
} from "./membership.ts";
export { Membership } from "./membership.ts";
export type { MembershipReducerOptions } from "./membership_reducer.ts";
export { MembershipReducer } from "./membership_reducer.ts";
export { listNeighbours } from "./neighbours.ts";
export type { KnownServer, MembershipState } from "./state.ts";
export type {
  GossipMessage,
  HostRecord,
  MembershipEffect,
  MembershipEvent,
  ServerLoad,
  ServerRecord,
  SharedMark,
} from "./types.ts";
export type { WireMessage } from "./wire.ts";
export { decodeMessage, encodeMessage } from "./wire.ts";
