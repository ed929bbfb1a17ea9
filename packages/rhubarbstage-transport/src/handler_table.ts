/**
 * Registry of the handlers of one transport.
 *
 * @module
 */

import { RhubarbstageError, toRhubarbstageError } from "rhubarbstage";
import type { ErrorKind, Outcome } from "rhubarbstage";
import type {
  MessageHandler,
  Peer,
  RequestContext,
  RequestHandler,
} from "./types.ts";

/** Wire form of an error that a request handler threw. */
export interface RemoteError {
  readonly kind: ErrorKind;
  readonly outcome: Outcome;
  readonly message: string;
  readonly retryAfterSeconds: number | null;
}

/** Converts a thrown value to its wire form. */
export function toRemoteError(thrown: unknown): RemoteError {
  const error = toRhubarbstageError(thrown);
  return {
    kind: error.kind,
    outcome: error.outcome,
    message: error.message,
    retryAfterSeconds: error.retryAfterSeconds ?? null,
  };
}

/** Restores the error of a remote handler from its wire form. */
export function fromRemoteError(remote: RemoteError): RhubarbstageError {
  return new RhubarbstageError(remote.kind, {
    message: remote.message,
    outcome: remote.outcome,
    ...(remote.retryAfterSeconds === null
      ? {}
      : { retryAfterSeconds: remote.retryAfterSeconds }),
  });
}

/** Handlers by message and request name. */
export class HandlerTable {
  readonly #messages = new Map<string, MessageHandler<unknown>>();
  readonly #requests = new Map<string, RequestHandler<unknown, unknown>>();
  /** Number of errors thrown by message handlers. */
  handlerErrors = 0;

  addMessage(name: string, handler: MessageHandler<never>): void {
    if (this.#messages.has(name)) {
      throw new Error(`Message "${name}" already has a handler`);
    }
    this.#messages.set(name, handler as MessageHandler<unknown>);
  }

  addRequest(name: string, handler: RequestHandler<never, unknown>): void {
    if (this.#requests.has(name)) {
      throw new Error(`Request "${name}" already has a handler`);
    }
    this.#requests.set(name, handler as RequestHandler<unknown, unknown>);
  }

  hasRequest(name: string): boolean {
    return this.#requests.has(name);
  }

  /** Runs the handler of a message; messages without a handler are ignored. */
  deliver(message: { name: string; body: unknown; sender: Peer }): void {
    try {
      this.#messages.get(message.name)?.(message.body, message.sender);
    } catch {
      this.handlerErrors += 1;
    }
  }

  /** Runs the request's handler; throws `not_found` if none. */
  async answer(
    request: { name: string; body: unknown },
    context: RequestContext,
  ): Promise<unknown> {
    const handler = this.#requests.get(request.name);
    if (handler === undefined) throw new RhubarbstageError("not_found");
    return await handler(request.body, context);
  }
}
