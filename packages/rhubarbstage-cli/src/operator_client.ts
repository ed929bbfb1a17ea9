/**
 * HTTP client of the operator interface.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import type { ErrorBody, ProcessSettings } from "@rhubarbstage/settings";
import { loadProcessSettings, loadTokens } from "@rhubarbstage/settings";
import { delay, isErrorKind, RhubarbstageError } from "rhubarbstage";
import { Agent, type Dispatcher, request } from "undici";
import {
  defaultAnswerTimeout,
  defaultRetryDelay,
  defaultUrl,
  minReadAttempts,
  minWriteAttempts,
} from "./constants.ts";
import { NoAnswerError } from "./errors.ts";
import type { ParsedOptions } from "./options.ts";

/** Options of an {@linkcode OperatorClient}. */
export interface OperatorClientOptions {
  /** Base URLs of hosts, tried in order. */
  readonly urls: readonly string[];
  readonly token?: string;
  /** Certificate authority of the hosts, in PEM. */
  readonly authority?: string;
  /** Timeout for one answer, in milliseconds; defaults to 10,000. */
  readonly timeout?: number;
  /**
   * Delay before a retry once every host was tried, in milliseconds; defaults
   * to 500.
   */
  readonly retryDelay?: number;
}

/** One request to the operator interface. */
interface OperatorRequest {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body?: unknown;
}

/** Result of one attempt. */
type SendResult =
  | { readonly type: "answer"; readonly value: unknown }
  | { readonly type: "error"; readonly error: RhubarbstageError }
  | {
    readonly type: "lost";
    readonly reason: string;
    /** Whether the host may have received the request. */
    readonly mayHaveRun: boolean;
  };

/** Error codes of connections that failed before any byte was sent. */
const connectErrorCodes = new Set([
  "ECONNREFUSED",
  "ENOTFOUND",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function isErrorBody(value: unknown): value is ErrorBody {
  const error = (value as ErrorBody | undefined)?.error;
  return typeof error?.type === "string" && typeof error.message === "string";
}

function toError(status: number, body: unknown): RhubarbstageError {
  if (!isErrorBody(body)) {
    return new RhubarbstageError("internal", {
      message:
        `The host answered with status ${status} without a valid error body`,
    });
  }
  const { type, message, outcome, revision } = body.error;
  const revisionSuffix = revision === undefined
    ? ""
    : ` (revision ${revision})`;
  return new RhubarbstageError(isErrorKind(type) ? type : "internal", {
    message: `${type}: ${message}${revisionSuffix}`,
    outcome,
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function errorCodeOf(error: unknown): string {
  const code = (error as { code?: unknown }).code;
  return typeof code === "string" ? code : "";
}

/** Sends to hosts in turn; retries lost answers and non-final errors. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;
  readonly #dispatcher: Dispatcher;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
    const { authority } = options;
    this.#dispatcher = new Agent({
      connect: authority === undefined ? {} : { ca: authority },
    });
  }

  /** Sends a read to the hosts in turn until one answers. */
  async get<Answer>(
    path: string,
    query: Readonly<Record<string, string | number | undefined>> = {},
  ): Promise<Answer> {
    const search = new URLSearchParams();
    for (const [name, value] of Object.entries(query)) {
      if (value !== undefined) search.set(name, String(value));
    }
    const suffix = search.size === 0 ? "" : `?${search}`;
    return await this.#sendWithRetries({
      method: "GET",
      path: `${path}${suffix}`,
    });
  }

  /**
   * Sends a change. The body must contain an edit id, because a request whose
   * answer is lost is resent, also to other hosts.
   */
  async post<Answer>(path: string, body: unknown): Promise<Answer> {
    return await this.#sendWithRetries({ method: "POST", path, body });
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #sendWithRetries<Answer>(call: OperatorRequest): Promise<Answer> {
    const { urls } = this.#options;
    let mayHaveRun = false;
    let lastError: RhubarbstageError | string = "";
    const minAttempts = call.method === "GET"
      ? minReadAttempts
      : minWriteAttempts;
    const maxAttempts = Math.max(minAttempts, urls.length);
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      if (attempt >= urls.length) {
        await delay(this.#options.retryDelay ?? defaultRetryDelay);
      }
      const url = urls[attempt % urls.length] as string;
      const result = await this.#send(url, call);
      if (result.type === "answer") return result.value as Answer;
      if (result.type === "error" && isFinal(result.error, mayHaveRun)) {
        throw result.error;
      }
      lastError = result.type === "error" ? result.error : result.reason;
      mayHaveRun ||= result.type === "lost"
        ? result.mayHaveRun
        : result.error.outcome !== "not_run";
    }
    if (lastError instanceof RhubarbstageError && !mayHaveRun) throw lastError;
    const reason = typeof lastError === "string"
      ? lastError
      : lastError.message;
    throw new NoAnswerError(
      `No answer from ${urls.join(", ")}: ${reason}`,
      { mayHaveRun: mayHaveRun && call.method === "POST" },
    );
  }

  async #send(url: string, call: OperatorRequest): Promise<SendResult> {
    const { token, timeout = defaultAnswerTimeout } = this.#options;
    try {
      const response = await request(new URL(call.path, url), {
        method: call.method,
        dispatcher: this.#dispatcher,
        signal: AbortSignal.timeout(timeout),
        headers: {
          ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
          ...(call.body === undefined
            ? {}
            : { "content-type": "application/json" }),
        },
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      const body = parseJson(await response.body.text());
      if (response.statusCode >= 300) {
        return { type: "error", error: toError(response.statusCode, body) };
      }
      if (body === undefined) {
        return {
          type: "lost",
          reason: "the answer is not valid JSON",
          mayHaveRun: true,
        };
      }
      return { type: "answer", value: body };
    } catch (error) {
      return {
        type: "lost",
        reason: (error as Error).message,
        mayHaveRun: !connectErrorCodes.has(errorCodeOf(error)),
      };
    }
  }
}

/**
 * Returns whether to stop retrying. No attempt can take effect after
 * `revision_conflict`. `not_run` covers only its own attempt, so an earlier
 * attempt may still have run.
 */
function isFinal(error: RhubarbstageError, mayHaveRun: boolean): boolean {
  if (error.kind === "revision_conflict") return true;
  if (error.outcome !== "not_run") return error.kind === "internal";
  const isTransient = error.kind === "no_quorum" || error.kind === "isolated" ||
    error.kind === "shutting_down";
  return !isTransient && !mayHaveRun;
}

function advertisedUrl(settings: ProcessSettings): string {
  const { address, port } = settings.http.advertise;
  const host = address.includes(":") ? `[${address}]` : address;
  const scheme = settings.tls === undefined ? "http" : "https";
  return `${scheme}://${host}:${port}`;
}

/**
 * Reads the options of a client from `--url`, `--settings`, `--token-file` and
 * `--authority`, or from the environment variables `RHUBARBSTAGE_URL` and
 * `RHUBARBSTAGE_TOKEN_FILE`.
 */
export async function readClientOptions(
  options: ParsedOptions,
  env: Readonly<Record<string, string | undefined>>,
): Promise<OperatorClientOptions> {
  const file = options.text("settings");
  const settings = file === undefined
    ? undefined
    : await loadProcessSettings(file);
  const urlOptions = options.list("url");
  const defaultUrls = settings === undefined
    ? (env.RHUBARBSTAGE_URL ?? defaultUrl).split(",")
    : [advertisedUrl(settings)];
  const tokenFile = options.text("token-file") ??
    settings?.tokenFiles.operators ?? env.RHUBARBSTAGE_TOKEN_FILE;
  const tokens = tokenFile === undefined ? [] : await loadTokens(tokenFile);
  const authorityFile = options.text("authority") ?? settings?.tls?.authority;
  const timeout = options.integer("timeout");
  return {
    urls: urlOptions.length > 0 ? urlOptions : defaultUrls,
    ...(tokens[0] === undefined ? {} : { token: tokens[0].value }),
    ...(authorityFile === undefined
      ? {}
      : { authority: await readFile(authorityFile, "utf8") }),
    ...(timeout === undefined ? {} : { timeout }),
  };
}
