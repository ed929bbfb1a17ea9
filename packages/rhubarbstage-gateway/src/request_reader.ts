/**
 * Reads and checks what callers send.
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

/** Largest output where the caller names none, in tokens. */
const defaultOutputTokenLimit = 1_024;

/** Parses a JSON object from a body. */
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
    throw invalid("The body must be a JSON object");
  }
  return value as JsonObject;
}

function parseJson(body: unknown): unknown {
  try {
    return JSON.parse(Buffer.isBuffer(body) ? body.toString("utf8") : "");
  } catch {
    throw invalid("The body is not valid JSON");
  }
}

/** Checks the fields of a generation that the gateway depends on. */
export function checkGeneration(
  endpoint: GenerationEndpoint,
  body: JsonObject,
): ModelName {
  if (typeof body.model !== "string" || body.model === "") {
    throw invalid('The field "model" must be a string');
  }
  if (endpoint === "chat") checkMessages(body.messages);
  if (endpoint === "text" && typeof body.prompt !== "string") {
    throw invalid('The field "prompt" must be a string');
  }
  if ((body.n ?? 1) !== 1) {
    throw invalid('The field "n" must be 1');
  }
  for (const name of ["max_tokens", "max_completion_tokens"]) {
    checkCount(name, body[name]);
  }
  if (body.stream !== undefined && typeof body.stream !== "boolean") {
    throw invalid('The field "stream" must be true or false');
  }
  return body.model as ModelName;
}

function checkMessages(messages: unknown): void {
  const valid = Array.isArray(messages) && messages.length > 0 &&
    messages.every((message) => typeof message?.role === "string");
  if (!valid) {
    throw invalid('The field "messages" must be a list of messages');
  }
}

function checkCount(name: string, value: unknown): void {
  if (value === undefined || value === null) return;
  if (Number.isSafeInteger(value) && (value as number) > 0) return;
  throw invalid(`The field "${name}" must be a whole number above 0`);
}

/** What {@linkcode readWork} makes a work item from. */
export interface WorkSource {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly endpoint: GenerationEndpoint;
  readonly model: ModelName;
  readonly headers: IncomingHttpHeaders;
  readonly body: JsonObject;
  /** Bytes of the body as the caller sent them. */
  readonly bytes: Uint8Array;
  readonly settings: EffectiveSettings;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
}

/** Describes a generation for the policy. */
export function readWork(source: WorkSource): Work {
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

/** Hash of customer and body. */
export function fingerprint(customer: CustomerId, body: Uint8Array): string {
  return createHash("sha256").update(customer).update("\n").update(body)
    .digest("hex");
}

/** Time for a request in milliseconds: the caller's, up to the limit. */
export function readTimeout(
  headers: IncomingHttpHeaders,
  limit: number,
): number {
  const value = headers[timeoutHeader];
  if (value === undefined) return limit;
  const timeout = Number(value);
  if (!Number.isFinite(timeout) || timeout <= 0) {
    throw invalid(`The header "${timeoutHeader}" must be a number above 0`);
  }
  return Math.min(timeout, limit);
}

/** Kind of work that the caller names. */
export function readKind(headers: IncomingHttpHeaders): WorkKind | undefined {
  const value = headers[kindHeader];
  return typeof value === "string" ? value as WorkKind : undefined;
}

function invalid(message: string): RhubarbstageError {
  return new RhubarbstageError("invalid_request", { message });
}
