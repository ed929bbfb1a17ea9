/**
 * Statuses that an HTTP answer can have.
 *
 * @module
 */

/** Nothing asks a server to change the protocol. */
const switchingProtocols = 101;

/** Thrown for an answer whose status is none. */
export class AnswerStatusError extends Error {
  override name = "AnswerStatusError";

  constructor(status: number) {
    super(`The server answered with status ${status}, which is none`);
  }
}

/** Whether an answer, interim or last, can have a status. */
export function isAnswerStatus(status: number): boolean {
  return Number.isInteger(status) && status >= 100 && status < 600 &&
    status !== switchingProtocols;
}

/**
 * Throws `AnswerStatusError` for a status that no answer can have. The HTTP client
 * accepts 600 and more, and rejects one below 100 by a failed assertion, whose
 * first message Node.js builds by parsing the source of the whole program.
 */
export function checkAnswerStatus(status: number): void {
  if (!isAnswerStatus(status)) throw new AnswerStatusError(status);
}
