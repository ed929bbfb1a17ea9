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
  /** Invalid command line, or a file that cannot be read. */
  usage: 1,
  /** Settings, a tree or an edit violate the schema. */
  invalid: 2,
  /** The host refused the request; nothing was changed. */
  refused: 3,
  /** Another edit changed the revision first; nothing was changed. */
  conflict: 4,
  /**
   * No usable answer; a change may have taken effect. Safe to resend under the
   * same edit id.
   */
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

/** Attempts for a read; with more hosts, one attempt for each. */
export const minReadAttempts = 2;

/** Attempts for a change; with more hosts, one attempt for each. */
export const minWriteAttempts = 4;

/** Delay before a retry once every host was tried, in milliseconds. */
export const defaultRetryDelay = 500;

/** Base URL if options, settings and environment name no host. */
export const defaultUrl = "http://127.0.0.1:8080";
