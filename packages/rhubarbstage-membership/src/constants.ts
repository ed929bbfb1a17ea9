/**
 * Intervals, limits and budgets of membership.
 *
 * @module
 */

/** Time between two gossip rounds, in milliseconds. */
export const gossipInterval = 500;
/** Hosts that one host gossips with, so that links do not form a full mesh. */
export const neighbourCount = 8;
/** Neighbours preferred in the local region, where traffic is free. */
export const regionalNeighbourCount = 5;
/** Neighbours that receive gossip in one round. */
export const gossipFanout = 2;
/**
 * Registrars in each region: the hosts that own the records of backend servers.
 * Every digest includes their heartbeats, so that evidence stays fresh
 * regardless of the number of hosts.
 */
export const registrarsPerRegion = 8;
/** Digest entries of other hosts in one message; the rest follow in rotation. */
export const digestSliceLimit = 24;
/** Maximum digest entries in one message for recently changed logs. */
export const changedLogLimit = 16;
/** Time for which each digest includes a changed log, in milliseconds. */
export const changeLifetime = 4_000;
/** Time between two selections of neighbours and registrars, in milliseconds. */
export const peerSelectionInterval = 2_000;
/** Bytes of deltas in one message, before framing. */
export const deltaByteBudget = 4_096;
/**
 * Bytes of deltas in an answer to a host that has no entry of a log, so that a
 * restarted host learns of all servers within a few messages.
 */
export const initialDeltaByteBudget = 65_536;
/**
 * Maximum live hosts to which the writer of a change sends it directly; with
 * more, it sends the change to its neighbours only.
 */
export const directPushLimit = 128;
/**
 * Maximum hosts whose record states `registrar: true` that each host adds to its
 * neighbours.
 */
export const registrarNeighbourLimit = 16;
/** Load reports in one message, newest first. */
export const maxLoadsPerMessage = 16;
/** Load reports older than this are not gossiped, in milliseconds. */
export const loadLifetime = 3_000;
/** Renewal interval requested of backend servers, in milliseconds. */
export const renewInterval = 2_000;
/**
 * Milliseconds without renewal or answered check until the owner drops a
 * record.
 */
export const renewTimeout = 4_500;
/**
 * Maximum age of evidence for new work on a server, in milliseconds. Bounds how
 * long a host sends to a server whose departure it has not received.
 */
export const maxEvidenceAge = 5_000;
/** Age of evidence that triggers a direct check, in milliseconds. */
export const recheckAge = 3_500;
/** Maximum direct checks started in one round; bounds the polling load. */
export const maxChecksPerRound = 8;
/** Age of the last heartbeat at which a registrar counts as gone, in ms. */
export const registrarTimeout = 6_000;
/**
 * Age of the last heartbeat at which any other host counts as gone, in
 * milliseconds. At 650 hosts, one rotation of the digest takes about 10 s.
 */
export const hostTimeout = 30_000;
/** Time for which removed servers and gone hosts are retained, in ms. */
export const removalRetention = 600_000;
/** Time for which the tombstone of a record is gossiped, in milliseconds. */
export const tombstoneRetention = 60_000;
/** Maximum quarantine marks in one host's log. */
export const quarantineMarkLimit = 128;
