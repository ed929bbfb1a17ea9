/**
 * Intervals, limits and budgets of membership.
 *
 * @module
 */

/** Time between two gossip rounds, in milliseconds. */
export const gossipInterval = 500;
/** Hosts that one host gossips with, so that links do not form a full mesh. */
export const neighbourCount = 8;
/** Neighbours preferred inside the own region, where paths are free. */
export const regionalNeighbourCount = 5;
/** Neighbours addressed in one round. */
export const gossipFanout = 2;
/**
 * Registrars in each region: the hosts that own the records of backend servers.
 * Their heartbeats are in every digest, so that evidence stays fresh however
 * many other hosts there are.
 */
export const registrarsPerRegion = 8;
/** Digest entries of other hosts in one message; more are sent in slices. */
export const digestSliceLimit = 24;
/** Digest entries of hosts whose log changed a short time ago. */
export const changedLogLimit = 16;
/** Time for which a changed log is in each digest, in milliseconds. */
export const changeLifetime = 4_000;
/** Time between two choices of neighbours and registrars, in milliseconds. */
export const peerSelectionInterval = 2_000;
/** Bytes of deltas in one message, before framing. */
export const deltaByteBudget = 4_096;
/**
 * Bytes of deltas in an answer to a host that has nothing of a log, so that a
 * restarted host knows all servers after a few messages.
 */
export const firstDeltaByteBudget = 65_536;
/**
 * Up to this many living hosts, the owner of a change sends it to all of them
 * at once; above, it goes from neighbour to neighbour.
 */
export const directPushLimit = 128;
/** Hosts that say they are registrars and that every host gossips with. */
export const registrarNeighbourLimit = 16;
/** Loads in one message, newest first. */
export const maxLoadsPerMessage = 16;
/** Loads older than this are not passed on, in milliseconds. */
export const loadLifetime = 3_000;
/** Interval at which backend servers are asked to renew, in milliseconds. */
export const renewInterval = 2_000;
/** The owning host drops a record that was not renewed for this long, in ms. */
export const renewTimeout = 4_500;
/**
 * Oldest evidence on which a backend server gets new work, in milliseconds.
 * Bounds how long a host that hears of no departure keeps sending.
 */
export const maxEvidenceAge = 5_000;
/** Evidence older than this is renewed by a direct check, in milliseconds. */
export const recheckAge = 3_500;
/** Direct checks started in one round, so that no host polls all servers. */
export const maxChecksPerRound = 8;
/** A registrar whose heartbeat is older counts as gone, in milliseconds. */
export const registrarTimeout = 6_000;
/**
 * Another host whose heartbeat is older counts as gone, in milliseconds. At 650
 * hosts, slices bring its heartbeat round in about 10 s.
 */
export const hostTimeout = 30_000;
/** Time for which departed servers and hosts are remembered, in milliseconds. */
export const departureRetention = 600_000;
/** Time for which a deleted record is still gossiped, in milliseconds. */
export const tombstoneRetention = 60_000;
/** Quarantine marks kept in one host's log. */
export const quarantineMarkLimit = 128;
