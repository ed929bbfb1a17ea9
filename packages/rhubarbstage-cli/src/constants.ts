/**
 * Exit codes and defaults of the command.
 *
 * @module
 */

/** Version of the command and of hosts that it starts. */
export const version = "0.1.0";

/** Exit codes; part of the documented interface. */
export const exitCodes = {
  /** The command did what was asked. */
  ok: 0,
  /** Unknown command or option, or a missing argument. */
  usage: 1,
  /** Settings, a tree or an edit break the schema. */
  invalid: 2,
  /** The host refused; nothing was changed. */
  refused: 3,
  /** Another edit came first; nothing was changed. */
  conflict: 4,
  /** No answer; the change may have taken effect. Safe to send again. */
  noAnswer: 5,
  /** The operator token is missing or not accepted. */
  unauthenticated: 6,
  /** A fault of the command or of the host. */
  internal: 70,
} as const;

/** Longest wait for one answer, in milliseconds. */
export const defaultAnswerTimeout = 10_000;

/**
 * Longest wait for the answer to a bootstrap or a repair, in milliseconds. A
 * repair waits for up to 60 s until every seat is caught up.
 */
export const seatAnswerTimeout = 90_000;

/** Sends of one read before the command gives up. */
export const maxReadAttempts = 2;

/** Sends of one change before the command gives up. */
export const maxWriteAttempts = 4;

/** Wait between two sends, in milliseconds. */
export const defaultRetryDelay = 500;

/** Host that is asked when nothing names one. */
export const defaultUrl = "http://127.0.0.1:8080";
