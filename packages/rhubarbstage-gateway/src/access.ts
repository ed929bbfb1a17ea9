/**
 * Authenticates and admits requests by route before their bodies are read.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { type CustomerId, RhubarbstageError } from "rhubarbstage";
import type { Credentials, Readiness } from "./ports.ts";

/** Routes without authentication. */
const unauthenticatedRoutes = new Set(["/healthz", "/readyz", "/metrics"]);

/** Sender of a request. */
export type Identity =
  | { readonly type: "caller"; readonly customer: CustomerId }
  | { readonly type: "operator"; readonly name: string }
  | { readonly type: "backend_server" }
  | { readonly type: "anyone" };

/** Limits for the bodies of requests in progress. */
export interface BodyLimits {
  /** Largest body of one request, in bytes. */
  readonly bodyLimit: number;
  /** Total size of the bodies of all requests, in bytes. */
  readonly bufferedBodyLimit: number;
}

/** Authenticates senders and limits the memory of request bodies. */
export class AccessControl {
  #credentials: Credentials;
  #readiness: Readiness;
  #limits: BodyLimits;
  #bufferedBytes = 0;
  #identities = new WeakMap<FastifyRequest, Identity>();
  #reservations = new WeakMap<FastifyRequest, number>();

  constructor(
    options: { credentials: Credentials; readiness: Readiness },
    limits: BodyLimits,
  ) {
    this.#credentials = options.credentials;
    this.#readiness = options.readiness;
    this.#limits = limits;
  }

  /**
   * Authenticates a request and reserves memory for its body.
   *
   * @throws {RhubarbstageError} If refused.
   */
  admit(request: FastifyRequest): void {
    const identity = this.#identify(request);
    this.#identities.set(request, identity);
    if (identity.type === "caller" && !this.#readiness.acceptsWork()) {
      throw new RhubarbstageError("shutting_down");
    }
    this.#reserve(request);
  }

  /** Releases the memory reserved for a request. Idempotent. */
  release(request: FastifyRequest): void {
    this.#bufferedBytes -= this.#reservations.get(request) ?? 0;
    this.#reservations.delete(request);
  }

  /** Returns the customer of an admitted request. */
  customerOf(request: FastifyRequest): CustomerId {
    const identity = this.#identities.get(request);
    if (identity?.type === "caller") return identity.customer;
    throw new RhubarbstageError("unauthenticated");
  }

  /** Returns the operator of an admitted request. */
  operatorOf(request: FastifyRequest): string {
    const identity = this.#identities.get(request);
    if (identity?.type === "operator") return identity.name;
    throw new RhubarbstageError("unauthenticated");
  }

  /**
   * Uses the matched route instead of the path: the router decodes paths, so an
   * encoded path would bypass the check.
   */
  #identify(request: FastifyRequest): Identity {
    const route = request.routeOptions.url;
    if (route === undefined || unauthenticatedRoutes.has(route)) {
      return { type: "anyone" };
    }
    const firstSegment = route.split("/")[1];
    const token = bearerToken(request.headers.authorization);
    switch (firstSegment) {
      case "v1":
      case "services":
        return this.#identifyCaller(token);
      case "operator":
        return this.#identifyOperator(token);
      case "backends":
        return this.#identifyBackendServer(token);
      default:
        throw unknownTokenError();
    }
  }

  #identifyCaller(apiKey: string): Identity {
    const customer = this.#credentials.customerOf(apiKey);
    if (customer === undefined) throw new RhubarbstageError("unauthenticated");
    return { type: "caller", customer };
  }

  #identifyOperator(token: string): Identity {
    const name = this.#credentials.operatorOf(token);
    if (name === undefined) throw unknownTokenError();
    return { type: "operator", name };
  }

  #identifyBackendServer(token: string): Identity {
    if (!this.#credentials.isBackendServer(token)) throw unknownTokenError();
    return { type: "backend_server" };
  }

  #reserve(request: FastifyRequest): void {
    const { bodyLimit, bufferedBodyLimit } = this.#limits;
    const bytes = bytesToReserve(request, bodyLimit);
    if (bytes > bodyLimit) throw new RhubarbstageError("body_too_large");
    if (this.#bufferedBytes + bytes > bufferedBodyLimit) {
      throw new RhubarbstageError("overloaded", {
        message:
          `The bodies in progress would exceed ${bufferedBodyLimit} bytes`,
      });
    }
    this.#bufferedBytes += bytes;
    this.#reservations.set(request, bytes);
  }
}

/** Returns the size to reserve; the limit for a body of unknown length. */
function bytesToReserve(request: FastifyRequest, limit: number): number {
  const length = request.headers["content-length"];
  if (length !== undefined) return Number(length);
  return request.headers["transfer-encoding"] === undefined ? 0 : limit;
}

function bearerToken(authorization: string | undefined): string {
  const match = /^Bearer +(\S+)$/i.exec(authorization ?? "");
  return match?.[1] ?? "";
}

function unknownTokenError(): RhubarbstageError {
  return new RhubarbstageError("unauthenticated", {
    message: "The token is missing or unknown",
  });
}
