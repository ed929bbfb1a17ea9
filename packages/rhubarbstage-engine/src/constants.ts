/**
 * Defaults and names of the wire format.
 *
 * @module
 */

/** Tokens of one block of the engines' prefix cache. */
export const cacheBlockTokens = 1_000;

/** Characters counted as one token where only the text is available. */
export const charactersPerToken = 4;

/** Timeout to connect to an engine, in milliseconds. */
export const defaultConnectTimeout = 2_000;

/**
 * Timeout for the head of an answer and between parts of its body, in
 * milliseconds. Streams without tokens carry a comment at least every 2 s.
 */
export const defaultIdleTimeout = 10_000;

/**
 * Timeout to prefill and export a KV cache or to import it, in milliseconds.
 */
export const cacheTransferTimeout = 60_000;

/** Maximum connections to one engine. */
export const defaultConnections = 256;

/** Maximum size of an engine's answer that is not a stream, in bytes. */
export const responseSizeLimit = 1_048_576;

/** Unread bytes of an answer above which the client stops reading. */
export const streamBufferLimit = 65_536;

/** Maximum bytes of joined chunks; copying more costs more than it saves. */
export const joinedChunksLimit = 8_192;

/** Maximum size of one event of a stream, in bytes. */
export const eventSizeLimit = 262_144;

/** Header with the outcome of a refused request. */
export const outcomeHeader = "rhubarbstage-outcome";

/** Header with the number of tokens after which a resumed stream continues. */
export const resumedFromHeader = "rhubarbstage-resumed-from";

/** Data of the event that completes a stream. */
export const terminator = "[DONE]";
