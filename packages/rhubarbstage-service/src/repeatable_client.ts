/**
 * Calls to plain services that may run more than once.
 *
 * @module
 */

import {
  AnswerStatusError,
  checkAnswerStatus,
  isAnswerStatus,
  RhubarbstageError,
} from "rhubarbstage";
import { Agent } from "undici";
import { connectTimeout } from "./constants.ts";
import { endToEndHeaders } from "./headers.ts";
import { originOf } from "./single_send.ts";
import type {
  RepeatableCallOptions,
  ServiceRequest,
  ServiceTarget,
  StreamedResponse,
} from "./types.ts";

/**
 * Makes one attempt of a call on keep-alive connections. The policy decides on
 * retries, so that budgets and failed servers are taken into account.
 */
export class RepeatableClient {
  #agent = new Agent({
    connect: { timeout: connectTimeout },
    pipelining: 1,
    bodyTimeout: 0,
  });

  /**
   * Resolves once the head of the response has arrived. Throws `backend_failed`
   * (`may_have_run`), `backend_unreachable` (`not_run`) when no connection was
   * made, and `deadline_exceeded` (`may_have_run`).
   */
  async call(
    target: ServiceTarget,
    request: ServiceRequest,
    options: RepeatableCallOptions,
  ): Promise<StreamedResponse> {
    try {
      const response = await this.#agent.request({
        origin: originOf(target.address),
        method: request.method,
        path: request.path,
        headers: endToEndHeaders(request.headers),
        body: request.body.byteLength > 0 ? request.body : null,
        signal: options.signal,
        headersTimeout: options.timeout,
        onInfo: ({ statusCode }) => checkAnswerStatus(statusCode),
      });
      if (!isAnswerStatus(response.statusCode)) {
        response.body.on("error", () => {}).destroy();
        throw new AnswerStatusError(response.statusCode);
      }
      const headers = endToEndHeaders(response.headers);
      return { status: response.statusCode, headers, body: response.body };
    } catch (error) {
      throw toCallError(error);
    }
  }

  /** Closes all connections at once. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }
}

/** Codes of errors that occur before a connection is established. */
const connectErrorCodes: ReadonlySet<unknown> = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function toCallError(error: unknown): RhubarbstageError {
  const code = (error as { code?: unknown } | undefined)?.code;
  if (connectErrorCodes.has(code)) {
    return new RhubarbstageError("backend_unreachable", { cause: error });
  }
  if (code === "UND_ERR_HEADERS_TIMEOUT") {
    return new RhubarbstageError("deadline_exceeded", {
      outcome: "may_have_run",
      cause: error,
    });
  }
  return new RhubarbstageError("backend_failed", { cause: error });
}
