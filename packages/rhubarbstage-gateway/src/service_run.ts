/**
 * A call to a plain service under the policy.
 *
 * @module
 */

import type { Work } from "@rhubarbstage/policy";
import type { SendService, ServiceAnswer } from "./ports.ts";
import { type Attempt, Run, type RunContext } from "./run.ts";

/** What a {@linkcode ServiceRun} runs. */
export interface ServiceRunOptions {
  readonly work: Work;
  readonly send: SendService;
}

/** Runs the sending function on the servers that the policy selects. */
export class ServiceRun extends Run<ServiceAnswer> {
  #send: SendService;

  constructor(context: RunContext, options: ServiceRunOptions) {
    super(context, options.work);
    this.#send = options.send;
  }

  protected override run(attempt: Attempt): Promise<ServiceAnswer> {
    return this.#send({
      attempt: attempt.id,
      server: attempt.address,
      signal: attempt.controller.signal,
    });
  }

  protected override tokensOf() {
    return { promptTokens: 0, outputTokens: 0 };
  }
}
