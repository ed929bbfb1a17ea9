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
  /** Settings, a tree or an edit violate the schema. */
  invalid: 2,
  /** The host refused the request; nothing was changed. */
  refused: 3,
  /** Another edit changed the revision first; nothing was changed. */
  conflict: 4,
  /** No answer; the change may have taken effect. Safe to resend. */
  noAnswer: 5,
  /** The operator token is missing or was rejected. */
  unauthenticated: 6,
  /** Internal error of the command or of the host. */
  internal: 70,
} as const;

/** Timeout for one answer, in milliseconds. */
export const defaultAnswerTimeout = 10_000;

/**
 * Timeout for the answer to a bootstrap or a repair, in milliseconds. A repair
 * waits up to 60 s until every seat has caught up.
 */
export const seatAnswerTimeout = 90_000;

/** Minimum attempts for a read; every host is tried at least once. */
export const maxReadAttempts = 2;

/** Minimum attempts for a change; every host is tried at least once. */
export const maxWriteAttempts = 4;

/** Delay before a retry once every host was tried, in milliseconds. */
export const defaultRetryDelay = 500;

/** Base URL when neither options, settings nor environment name a host. */
export const defaultUrl = "http://127.0.0.1:8080";
