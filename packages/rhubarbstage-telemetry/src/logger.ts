/**
 * Log lines.
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
import { LogRateLimiter } from "./line_gate.ts";
import type { Fields, LogLevel } from "./types.ts";

/** Options of {@linkcode createLogger}. */
export interface LoggerOptions {
  /** Least important level that is written; defaults to `info`. */
  readonly level?: LogLevel;
  /** File to append to; standard output when absent. */
  readonly file?: string;
  /** Fields of every line, for example the host. */
  readonly fields?: Fields;
  /** Receives lines in place of file and standard output. */
  readonly write?: (line: string) => void;
}

/** Writes one key=value line for each event. */
export abstract class Logger {
  /** Writes a line. `event` is a name in snake_case. */
  abstract log(level: LogLevel, event: string, fields?: Fields): void;

  /** Writes what is still buffered and closes the file. */
  abstract close(): Promise<void>;

  /** Something failed and needs an operator. */
  error(event: string, fields?: Fields): void {
    this.log("error", event, fields);
  }

  /** Something failed and the system copes. */
  warn(event: string, fields?: Fields): void {
    this.log("warn", event, fields);
  }

  /** A change of state. */
  info(event: string, fields?: Fields): void {
    this.log("info", event, fields);
  }

  /** A detail for fault finding. */
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
  readonly #gate: LogRateLimiter;

  constructor(winston: WinstonLogger, fields: Fields, gate: LogRateLimiter) {
    super();
    this.#winston = winston;
    this.#fields = fields;
    this.#gate = gate;
  }

  override log(level: LogLevel, event: string, fields: Fields = {}): void {
    if (!this.#winston.isLevelEnabled(level)) return;
    if (!this.#gate.tryAcquire()) return;
    const lines = this.#gate.takeSuppressedCount();
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

/** Creates a logger. */
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
  // Without a listener, a full disk would end the serving process.
  winston.on("error", reportFailure);
  const isStandard = options.file === undefined;
  const gate = new LogRateLimiter({
    pendingBytes: () => isStandard ? process.stdout.writableLength : 0,
  });
  return new KeyValueLogger(winston, fields, gate);
}

/** A logger that drops all lines. */
export function createNullLogger(): Logger {
  return new CallbackLogger(() => {}, {});
}
