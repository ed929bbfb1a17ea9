/**
 * Calls to plain services: repeatable ones directly, others through the claim
 * journal.
 *
 * @module
 */

import {
  type ServiceAttempt,
  type ServiceCall,
  ServiceCalls,
  type ServiceResponse,
  type ServiceRouting,
} from "@rhubarbstage/gateway";
import type {
  ClaimRunner,
  RepeatableClient,
  ServiceRequest,
  ServiceTarget,
  StreamedResponse,
} from "@rhubarbstage/service";
import { type Clock, RhubarbstageError } from "rhubarbstage";

/** Maximum response body of a repeatable call, in bytes. */
const maxResponseBodyBytes = 32 * 1_024 * 1_024;

/** Options of {@linkcode HostServiceCalls}. */
export interface HostServiceCallsOptions {
  readonly claims: ClaimRunner;
  readonly repeatable: RepeatableClient;
  readonly clock: Clock;
}

/** Runs calls to plain services for the gateway. */
export class HostServiceCalls extends ServiceCalls {
  #options: HostServiceCallsOptions;

  constructor(options: HostServiceCallsOptions) {
    super();
    this.#options = options;
  }

  override async call(
    call: ServiceCall,
    routing: ServiceRouting,
  ): Promise<ServiceResponse> {
    if (!call.repeatable) return await this.#callAtMostOnce(call, routing);
    return await routing.run((attempt) => this.#callRepeatable(call, attempt));
  }

  async #callRepeatable(
    call: ServiceCall,
    attempt: ServiceAttempt,
  ): Promise<ServiceResponse> {
    const now = this.#options.clock.monotonicMilliseconds();
    const response = await this.#options.repeatable.call(
      targetOf(attempt),
      requestOf(call),
      {
        signal: attempt.signal,
        timeout: Math.max(1, call.deadlineAt - now),
      },
    );
    const { status, headers } = response;
    return { status, headers, body: await readBody(response), replayed: false };
  }

  /**
   * Claims the call before the policy picks a server. When an attempt did not
   * run, its claim is released; if the policy then picks another server, the
   * call is claimed again.
   */
  async #callAtMostOnce(
    call: ServiceCall,
    routing: ServiceRouting,
  ): Promise<ServiceResponse> {
    let routed: Promise<ServiceResponse> | undefined;
    const firstClaim: Promise<ServiceResponse> = this.#runClaimed(
      call,
      () =>
        new Promise((resolve, reject) => {
          let attempts = 0;
          routed = routing.run((attempt) => {
            attempts += 1;
            const target = targetOf(attempt);
            if (attempts > 1) {
              return this.#runClaimed(call, () => Promise.resolve(target));
            }
            resolve(target);
            return firstClaim;
          });
          routed.catch(reject);
        }),
    );
    const settled = await firstClaim.catch((thrown: unknown) => ({ thrown }));
    if (routed !== undefined) return await routed;
    if ("thrown" in settled) throw settled.thrown;
    return settled;
  }

  async #runClaimed(
    call: ServiceCall,
    acquireTarget: () => Promise<ServiceTarget>,
  ): Promise<ServiceResponse> {
    const { customer, service, idempotencyKey, deadlineAt } = call;
    const response = await this.#options.claims.run({
      customer,
      service,
      idempotencyKey,
      request: requestOf(call),
      deadlineAt,
      acquireTarget,
    });
    const { status, headers, body, replayed } = response;
    return { status, headers, body, replayed };
  }
}

function targetOf(attempt: ServiceAttempt): ServiceTarget {
  const { id, url } = attempt.server;
  return { backendServer: id, address: url };
}

function requestOf(call: ServiceCall): ServiceRequest {
  const headers = Object.entries(call.headers).map(([name, value]) =>
    [name, typeof value === "string" ? value : value.join(", ")] as const
  );
  const { method, path, body } = call;
  return { method, path, headers: Object.fromEntries(headers), body };
}

async function readBody(response: StreamedResponse): Promise<Uint8Array> {
  const parts: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const part of response.body) {
      size += part.length;
      if (size > maxResponseBodyBytes) break;
      parts.push(part);
    }
  } catch (cause) {
    throw new RhubarbstageError("stream_interrupted", { cause });
  }
  if (size <= maxResponseBodyBytes) return Buffer.concat(parts);
  throw new RhubarbstageError("backend_failed", {
    message:
      `The service's response body exceeds ${maxResponseBodyBytes} bytes`,
    outcome: "ran",
  });
}
