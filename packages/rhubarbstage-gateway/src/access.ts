/**
 * Admission of requests by path before their bodies are read.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { type CustomerId, RhubarbstageError } from "rhubarbstage";
import type { Credentials, Readiness } from "./ports.ts";

/** Routes that need no secret. */
const openRoutes = new Set(["/healthz", "/readyz", "/metrics"]);

/** Who sent a request. */
export type Identity =
  | { readonly type: "caller"; readonly customer: CustomerId }
  | { readonly type: "operator"; readonly name: string }
  | { readonly type: "backend_server" }
  | { readonly type: "anyone" };

/** Budget for the bodies of all requests in progress. */
export interface BodyLimits {
  /** Largest body of one request, in bytes. */
  readonly bodyLimit: number;
  /** Bodies of all requests together, in bytes. */
  readonly bufferedBodyLimit: number;
}

/** Identifies senders and bounds the memory of their bodies. */
export class AccessControl {
  #credentials: Credentials;
  #readiness: Readiness;
  #budget: BodyLimits;
  #bufferedBytes = 0;
  #identities = new WeakMap<FastifyRequest, Identity>();
  #reservations = new WeakMap<FastifyRequest, number>();

  constructor(
    options: { credentials: Credentials; readiness: Readiness },
    budget: BodyLimits,
  ) {
    this.#credentials = options.credentials;
    this.#readiness = options.readiness;
    this.#budget = budget;
  }

  /**
   * Checks a request before its body is read.
   *
   * @throws {RhubarbstageError} If it is refused.
   */
  admit(request: FastifyRequest): void {
    const identity = this.#identify(request);
    this.#identities.set(request, identity);
    if (identity.type === "caller" && !this.#readiness.acceptsWork()) {
      throw new RhubarbstageError("shutting_down");
    }
    this.#reserve(request);
  }

  /** Releases what a request holds; harmless when called again. */
  release(request: FastifyRequest): void {
    this.#bufferedBytes -= this.#reservations.get(request) ?? 0;
    this.#reservations.delete(request);
  }

  /** Customer of an admitted request. */
  customerOf(request: FastifyRequest): CustomerId {
    const identity = this.#identities.get(request);
    if (identity?.type === "caller") return identity.customer;
    throw new RhubarbstageError("unauthenticated");
  }

  /** Operator of an admitted request. */
  operatorOf(request: FastifyRequest): string {
    const identity = this.#identities.get(request);
    if (identity?.type === "operator") return identity.name;
    throw new RhubarbstageError("unauthenticated");
  }

  /**
   * Goes by the matched route, not by the path: the router decodes paths, so an
   * encoded one would not be recognised.
   */
  #identify(request: FastifyRequest): Identity {
    const route = request.routeOptions.url;
    if (route === undefined || openRoutes.has(route)) return { type: "anyone" };
    const area = route.split("/")[1];
    const token = bearerToken(request.headers.authorization);
    switch (area) {
      case "v1":
      case "services":
        return this.#identifyCaller(token);
      case "operator":
        return this.#identifyOperator(token);
      case "backends":
        return this.#identifyBackendServer(token);
      default:
        throw unknownToken();
    }
  }

  #identifyCaller(apiKey: string): Identity {
    const customer = this.#credentials.customerOf(apiKey);
    if (customer === undefined) throw new RhubarbstageError("unauthenticated");
    return { type: "caller", customer };
  }

  #identifyOperator(token: string): Identity {
    const name = this.#credentials.operatorOf(token);
    if (name === undefined) throw unknownToken();
    return { type: "operator", name };
  }

  #identifyBackendServer(token: string): Identity {
    if (!this.#credentials.isBackendServer(token)) throw unknownToken();
    return { type: "backend_server" };
  }

  #reserve(request: FastifyRequest): void {
    const { bodyLimit, bufferedBodyLimit } = this.#budget;
    const bytes = bodyBytes(request, bodyLimit);
    if (bytes > bodyLimit) throw new RhubarbstageError("body_too_large");
    if (this.#bufferedBytes + bytes > bufferedBodyLimit) {
      throw new RhubarbstageError("overloaded", {
        message: "The bodies of running requests use all memory set aside",
      });
    }
    this.#bufferedBytes += bytes;
    this.#reservations.set(request, bytes);
  }
}

/** A body of unknown length may grow to the limit. */
function bodyBytes(request: FastifyRequest, limit: number): number {
  const length = request.headers["content-length"];
  if (length !== undefined) return Number(length);
  return request.headers["transfer-encoding"] === undefined ? 0 : limit;
}

function bearerToken(authorization: string | undefined): string {
  const match = /^Bearer +(\S+)$/i.exec(authorization ?? "");
  return match?.[1] ?? "";
}

function unknownToken(): RhubarbstageError {
  return new RhubarbstageError("unauthenticated", {
    message: "The token is missing or unknown",
  });
}
