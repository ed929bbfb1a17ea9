/**
 * Times and limits of the relay.
 *
 * @module
 */

/** Longest wait for a new connection to a server, in milliseconds. */
export const connectTimeout = 1_000;

/**
 * Idle timeout for connections to servers that send no keep-alive timeout, in
 * milliseconds; shorter than the 5 s default of common HTTP servers.
 */
export const idleConnectionTimeout = 4_000;

/** Largest response that is buffered whole before it is relayed, in bytes. */
export const bufferedResponseBytes = 262_144;

/**
 * Bytes that a connection may receive for one response beside its body: the
 * largest head, and what its buffers hold while the reader pauses.
 */
export const maxFramingBytes = 262_144;

/** The same for each byte of the body, whose smallest chunks have one byte. */
export const maxFramingRatio = 8;

/** Largest body that is read whole and not relayed, in bytes. */
export const maxWholeBodyBytes = 262_144;

/**
 * Longest wait for the rest of a refusal, in milliseconds. What it says stands in
 * its head; its body is read only to keep the connection.
 */
export const refusalBodyTimeout = 100;

/** Largest incomplete event that is buffered, in bytes. */
export const maxEventBytes = 1_048_576;

/**
 * Time before the caller's deadline at which the relay responds, in
 * milliseconds; covers the return trip and one policy tick.
 */
export const deadlineMargin = 60;

/**
 * Longest time for which the origin of a stream is kept, in milliseconds,
 * whatever time a caller names.
 */
export const maxStreamLifetime = 600_000;

/**
 * Time until a caller that does not read the rest of its response is cut off, in
 * milliseconds.
 */
export const callerStallTimeout = 60_000;

/** Timeout for receiving a whole request, in milliseconds. */
export const requestTimeout = 30_000;

/** Fraction of a server's connection limit that all hosts together use. */
export const connectionShare = 0.8;

/**
 * Minimum connections per server, so that one slow call does not block all
 * others.
 */
export const minConnections = 4;

/** Request ids remembered for each server, to recognise a second send. */
export const maxRecentRequestIds = 256;

/** Timeout of the check whether a server still listens, in milliseconds. */
export const livenessTimeout = 150;

/** `Retry-After` of errors that carry no value of their own, in seconds. */
export const defaultRetryAfter = 0.5;

/** Interval of the path monitor's checks, in milliseconds. */
export const pathCheckInterval = 250;

/** Timeout of a probe of a path, in milliseconds. */
export const probeTimeout = 500;

/** Time before a witness is probed beside an unanswered probe, in ms. */
export const probeHeadStart = 250;

/**
 * Silence of all servers after which a host with requests under way suspects its
 * own paths, in milliseconds.
 */
export const hostSilenceThreshold = 600;

/** Silence of one server after which its path is examined, in milliseconds. */
export const serverSilenceThreshold = 2_000;

/** Time without a sign of any server after which an idle host probes one, in ms. */
export const idleProbeInterval = 2_000;

/** Most servers probed for one suspicion, the suspected one included. */
export const maxExaminedServers = 4;

/** Servers without an answer that show a host cut off, or with one connected. */
export const minCutOffEvidence = 3;

/** Servers for which other hosts are asked before a host counts as cut off. */
export const queriedServers = 2;

/** Most servers whose paths are checked because another path was lost. */
export const maxSurveyedServers = 16;

/** Servers probed for this at each check of the path monitor. */
export const surveyedServersPerCheck = 4;

/** Minimum time between two examinations for failed connections, in ms. */
export const suspicionInterval = 500;

/** Time between probes of lost paths, in milliseconds. */
export const reprobeInterval = 500;

/** Minimum time between two queries to other hosts for one server, in ms. */
export const peerQueryInterval = 1_000;

/**
 * Silence after which a request on a dead connection ends if it may be repeated,
 * in milliseconds.
 */
export const brokenExchangeSilence = 1_000;
