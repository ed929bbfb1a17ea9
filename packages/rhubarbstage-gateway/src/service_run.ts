/**
 * Runs a call to a plain service under the policy.
 *
 * @module
 */

import type { Work } from "@rhubarbstage/policy";
import type { SendServiceAttempt, ServiceResponse } from "./ports.ts";
import { type Attempt, RequestRun, type RunContext } from "./run.ts";

/** Work and send function of a {@linkcode ServiceRun}. */
export interface ServiceRunOptions {
  readonly work: Work;
  readonly send: SendServiceAttempt;
}

/** Calls `send` for each server that the policy selects. */
export class ServiceRun extends RequestRun<ServiceResponse> {
  #send: SendServiceAttempt;

  constructor(context: RunContext, options: ServiceRunOptions) {
    super(context, options.work);
    this.#send = options.send;
  }

  protected override run(attempt: Attempt): Promise<ServiceResponse> {
    return this.#send({
      attempt: attempt.id,
      server: attempt.address,
      signal: attempt.controller.signal,
    });
  }

  protected override countTokens() {
    return { promptTokens: 0, outputTokens: 0 };
  }
}
