/**
 * Client for the wire format of model engines.
 *
 * @module
 */

export {
  cacheBlockTokens,
  charactersPerToken,
  outcomeHeader,
  resumedFromHeader,
} from "./constants.ts";
export type { EngineErrorDetails, EngineRefusal } from "./errors.ts";
export { EngineError, refusalError } from "./errors.ts";
export type {
  Announcement,
  BackendServerAddress,
  CacheEvents,
  Departure,
  EngineLoad,
  EngineOrder,
  EngineRole,
  EngineStatus,
  FencingMode,
  GenerationEndpoint,
  GenerationEvent,
  GenerationRequest,
  JsonObject,
  OrderKind,
  OrderResponse,
  ReportedOrder,
  TransferredCache,
} from "./types.ts";
export type {
  CallOptions,
  EngineClientOptions,
  ImportOptions,
} from "./engine_client.ts";
export { EngineClient } from "./engine_client.ts";
export type { OrderConnectionOptions } from "./order_connection.ts";
export { openOrderConnection, OrderConnection } from "./order_connection.ts";
export { EventStreamReader, tokenChunks } from "./event_stream.ts";
export {
  parseAnnouncement,
  parseCacheEvents,
  parseDeparture,
  parseStatus,
} from "./schema.ts";
export { estimateTokens, promptPrefixHashes, promptText } from "./prompt.ts";
