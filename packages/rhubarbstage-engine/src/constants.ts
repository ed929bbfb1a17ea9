/**
 * Defaults and names of the wire format.
 *
 * @module
 */

/** Tokens of one block of the engines' prefix cache. */
export const cacheBlockTokens = 1_000;

/** Characters that stand for one token where only the text is known. */
export const charactersPerToken = 4;

/** Time to establish a connection to an engine, in milliseconds. */
export const defaultConnectTimeout = 2_000;

/**
 * Silence after which a stream counts as interrupted, in milliseconds. Engines
 * send a comment at least every 2 s while they have no token.
 */
export const defaultIdleTimeout = 10_000;

/** Time to compute a prompt or to move its KV cache, in milliseconds. */
export const cacheTransferTimeout = 60_000;

/** Connections to one engine. */
export const defaultConnections = 256;

/** Size of an engine's answer that is not a stream, in bytes. */
export const responseSizeLimit = 1_048_576;

/** Unread bytes of a stream at which the adapter stops reading. */
export const streamBufferLimit = 65_536;

/** Bytes up to which chunks are joined; copying more costs more than it saves. */
export const joinedChunksLimit = 8_192;

/** Size of one event of a stream, in bytes. */
export const eventSizeLimit = 262_144;

/** Header with the outcome of a refused request. */
export const outcomeHeader = "rhubarbstage-outcome";

/** Header with the number of tokens that a resumed stream continues after. */
export const resumedFromHeader = "rhubarbstage-resumed-from";

/** Data of the event that completes a stream. */
export const terminator = "[DONE]";
