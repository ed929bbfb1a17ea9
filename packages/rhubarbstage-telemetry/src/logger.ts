/**
 * Loggers that write key=value lines.
 *
 * @module
 */

import {
  createLogger as createWinston,
  format,
  type Logger as WinstonLogger,
  transports,
} from "winston";
import { formatFields } from "./key_value.ts";
import { LogRateLimiter } from "./log_rate_limiter.ts";
import type { Fields, LogLevel } from "./types.ts";

/** Options of {@linkcode createLogger}. */
export interface LoggerOptions {
  /** Least severe level that is written; defaults to `info`. */
  readonly level?: LogLevel;
  /** File to append to; standard output when absent. */
  readonly file?: string;
  /** Fields of every line, for example the host. */
  readonly fields?: Fields;
  /**
   * Receives lines of all levels in place of the output, without timestamps or
   * rate limit.
   */
  readonly write?: (line: string) => void;
}

/** Writes one key=value line for each event. */
export abstract class Logger {
  /** Writes a line. `event` is a name in snake_case. */
  abstract log(level: LogLevel, event: string, fields?: Fields): void;

  /** Writes what is still buffered and closes the file. */
  abstract close(): Promise<void>;

  /** Logs a failure that needs an operator. */
  error(event: string, fields?: Fields): void {
    this.log("error", event, fields);
  }

  /** Logs a failure that the system handles itself. */
  warn(event: string, fields?: Fields): void {
    this.log("warn", event, fields);
  }

  /** Logs a change of state. */
  info(event: string, fields?: Fields): void {
    this.log("info", event, fields);
  }

  /** Logs a detail for debugging. */
  debug(event: string, fields?: Fields): void {
    this.log("debug", event, fields);
  }
}

const lineFormat = format.printf((info) => info.message as string);

function reportFailure(error: unknown): void {
  const detail = error instanceof Error ? error.message : String(error);
  process.stderr.write(
    `${formatFields({ level: "error", event: "log_failed", detail })}\n`,
  );
}

function createTransport(options: LoggerOptions) {
  if (options.file !== undefined) {
    return new transports.File({ filename: options.file });
  }
  return new transports.Console();
}

class KeyValueLogger extends Logger {
  readonly #winston: WinstonLogger;
  readonly #fields: Fields;
  readonly #rateLimiter: LogRateLimiter;

  constructor(
    winston: WinstonLogger,
    fields: Fields,
    rateLimiter: LogRateLimiter,
  ) {
    super();
    this.#winston = winston;
    this.#fields = fields;
    this.#rateLimiter = rateLimiter;
  }

  override log(level: LogLevel, event: string, fields: Fields = {}): void {
    if (!this.#winston.isLevelEnabled(level)) return;
    if (!this.#rateLimiter.tryAcquire()) return;
    const lines = this.#rateLimiter.takeSuppressedCount();
    if (lines > 0) this.#write("warn", "log_lines_suppressed", { lines });
    this.#write(level, event, fields);
  }

  #write(level: LogLevel, event: string, fields: Fields): void {
    const time = new Date().toISOString();
    const message = formatFields({
      time,
      level,
      event,
      ...this.#fields,
      ...fields,
    });
    this.#winston.log({ level, message });
  }

  override close(): Promise<void> {
    return new Promise((resolve) => {
      this.#winston.once("finish", resolve);
      this.#winston.end();
    });
  }
}

class CallbackLogger extends Logger {
  readonly #write: (line: string) => void;
  readonly #fields: Fields;

  constructor(write: (line: string) => void, fields: Fields) {
    super();
    this.#write = write;
    this.#fields = fields;
  }

  override log(level: LogLevel, event: string, fields: Fields = {}): void {
    this.#write(formatFields({ level, event, ...this.#fields, ...fields }));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Creates a logger for a file, a callback or standard output. */
export function createLogger(options: LoggerOptions = {}): Logger {
  const fields = options.fields ?? {};
  if (options.write !== undefined) {
    return new CallbackLogger(options.write, fields);
  }
  const winston = createWinston({
    level: options.level ?? "info",
    levels: { error: 0, warn: 1, info: 2, debug: 3 },
    format: lineFormat,
    transports: [createTransport(options)],
  });
  // Without a listener, a full disk would crash the serving process.
  winston.on("error", reportFailure);
  const isStandardOutput = options.file === undefined;
  const rateLimiter = new LogRateLimiter({
    pendingBytes: () => isStandardOutput ? process.stdout.writableLength : 0,
  });
  return new KeyValueLogger(winston, fields, rateLimiter);
}

/** Creates a logger that drops all lines. */
export function createNullLogger(): Logger {
  return new CallbackLogger(() => {}, {});
}
