/**
 * Authenticated message links between hosts.
 *
 * @module
 */

export type {
  LinkChange,
  MessageCounters,
  MessageHandler,
  MessageOptions,
  MessageType,
  Peer,
  PeerAddress,
  RequestContext,
  RequestHandler,
  RequestOptions,
  RequestType,
  TransportCounters,
} from "./types.ts";
export type { TransportFailure } from "./errors.ts";
export { TransportError } from "./errors.ts";
export { messageType, requestType, Transport } from "./transport.ts";
export { LocalNetwork, LocalTransport } from "./local_transport.ts";
export type {
  PeerTransportOptions,
  TransportCertificates,
} from "./peer_transport.ts";
export { PeerTransport } from "./peer_transport.ts";
export { decode, encode } from "./codec.ts";
