/**
 * Parses and validates requests of callers.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { IncomingHttpHeaders } from "node:http";
import {
  estimateTokens,
  type GenerationEndpoint,
  type JsonObject,
  promptPrefixHashes,
  promptText,
} from "@rhubarbstage/engine";
import type { Work } from "@rhubarbstage/policy";
import {
  type CustomerId,
  type ModelName,
  type RequestId,
  RhubarbstageError,
  type WorkKind,
} from "rhubarbstage";
import { kindHeader, timeoutHeader } from "./constants.ts";
import type { EffectiveSettings } from "./ports.ts";

/** Output limit if the caller sets none, in tokens. */
const defaultOutputTokenLimit = 1_024;

/** Parses a JSON object; throws on an invalid body or content type. */
export function readJson(
  headers: IncomingHttpHeaders,
  body: unknown,
): JsonObject {
  const contentType = headers["content-type"]?.split(";")[0]?.trim();
  if (contentType?.toLowerCase() !== "application/json") {
    throw new RhubarbstageError("unsupported_media_type", {
      message: "The content type must be application/json",
    });
  }
  const value = parseJson(body);
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    throw invalidRequest("The body must be a JSON object");
  }
  return value as JsonObject;
}

function parseJson(body: unknown): unknown {
  try {
    return JSON.parse(Buffer.isBuffer(body) ? body.toString("utf8") : "");
  } catch {
    throw invalidRequest("The body is not valid JSON");
  }
}

/** Validates the fields that the gateway uses and returns the model. */
export function checkGeneration(
  endpoint: GenerationEndpoint,
  body: JsonObject,
): ModelName {
  if (typeof body.model !== "string" || body.model === "") {
    throw invalidRequest('The field "model" must be a non-empty string');
  }
  if (endpoint === "chat") checkMessages(body.messages);
  if (endpoint === "text" && typeof body.prompt !== "string") {
    throw invalidRequest('The field "prompt" must be a string');
  }
  if ((body.n ?? 1) !== 1) {
    throw invalidRequest('The field "n" must be 1');
  }
  for (const name of ["max_tokens", "max_completion_tokens"]) {
    checkCount(name, body[name]);
  }
  if (body.stream !== undefined && typeof body.stream !== "boolean") {
    throw invalidRequest('The field "stream" must be true or false');
  }
  return body.model as ModelName;
}

function checkMessages(messages: unknown): void {
  const valid = Array.isArray(messages) && messages.length > 0 &&
    messages.every((message) => typeof message?.role === "string");
  if (!valid) {
    throw invalidRequest(
      'The field "messages" must be a non-empty list of messages with a "role"',
    );
  }
}

function checkCount(name: string, value: unknown): void {
  if (value === undefined || value === null) return;
  if (Number.isSafeInteger(value) && (value as number) > 0) return;
  throw invalidRequest(`The field "${name}" must be a positive integer`);
}

/** Input of {@linkcode readWork}. */
export interface WorkInput {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly endpoint: GenerationEndpoint;
  readonly model: ModelName;
  readonly headers: IncomingHttpHeaders;
  readonly body: JsonObject;
  /** Raw bytes of the body. */
  readonly bytes: Uint8Array;
  readonly settings: EffectiveSettings;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Builds the policy's description of a generation. */
export function readWork(source: WorkInput): Work {
  const { body, settings, arrivedAt } = source;
  const prompt = promptText(source.endpoint, body);
  const limit = body.max_completion_tokens ?? body.max_tokens;
  return {
    request: source.request,
    customer: source.customer,
    service: settings.service,
    kind: settings.kind,
    model: source.model,
    promptTokens: estimateTokens(prompt),
    outputTokenLimit: Number(limit ?? defaultOutputTokenLimit),
    prefixHashes: promptPrefixHashes(prompt),
    fingerprint: fingerprint(source.customer, source.bytes),
    repeatable: true,
    resumable: true,
    arrivedAt,
    deadlineAt: arrivedAt + readTimeout(source.headers, settings.timeout),
    settings: settings.work,
  };
}

/** Returns the hex SHA-256 hash of customer and body. */
export function fingerprint(customer: CustomerId, body: Uint8Array): string {
  return createHash("sha256").update(customer).update("\n").update(body)
    .digest("hex");
}

/** Returns the caller's timeout in milliseconds, capped at `limit`. */
export function readTimeout(
  headers: IncomingHttpHeaders,
  limit: number,
): number {
  const value = headers[timeoutHeader];
  if (value === undefined) return limit;
  const timeout = Number(value);
  if (!Number.isFinite(timeout) || timeout <= 0) {
    throw invalidRequest(
      `The header "${timeoutHeader}" must be a number above 0`,
    );
  }
  return Math.min(timeout, limit);
}

/** Returns the kind of work that the caller specifies. */
export function readKind(headers: IncomingHttpHeaders): WorkKind | undefined {
  const value = headers[kindHeader];
  return typeof value === "string" ? value as WorkKind : undefined;
}

function invalidRequest(message: string): RhubarbstageError {
  return new RhubarbstageError("invalid_request", { message });
}
