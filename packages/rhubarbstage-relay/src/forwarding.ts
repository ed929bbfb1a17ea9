/**
 * Sending requests to servers through other hosts.
 *
 * @module
 */

import type { BackendServerAddress } from "@rhubarbstage/engine";
import type { ExchangeRequest, ExchangeResponse } from "./exchange.ts";

/** Thrown when no host can be asked to forward a request. */
export class NoForwardingHostError extends Error {
  constructor() {
    super("No other host offers to forward requests to servers");
    this.name = "NoForwardingHostError";
  }
}

/** Other hosts that send requests to servers which this host does not reach. */
export abstract class ForwardingHosts {
  /**
   * Sends a request once through another host; aborting the signal ends it at
   * the server.
   *
   * @throws {ExchangeError} As an exchange on a connection of this host.
   * @throws {NoForwardingHostError} If no host offers its help; nothing was sent.
   */
  abstract send(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ExchangeResponse>;
}
