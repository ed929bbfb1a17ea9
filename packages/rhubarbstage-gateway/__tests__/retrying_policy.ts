/**
 * A test policy that routes round robin and retries on the next server.
 *
 * @module
 */

import {
  type BackendServer,
  Policy,
  type PolicyEffect,
  type PolicyEvent,
} from "@rhubarbstage/policy";
import type { AttemptId, BackendServerId, RequestId } from "rhubarbstage";

interface RetryingState {
  readonly servers: BackendServer[];
  readonly attempts: Map<RequestId, number>;
}

/** Options of a {@linkcode RetryingPolicy}. */
export interface RetryingPolicyOptions {
  readonly attempts?: number;
  /** Server that computes each prompt. */
  readonly prefillServer?: BackendServerId;
}

export class RetryingPolicy extends Policy<RetryingState> {
  #options: RetryingPolicyOptions;

  constructor(options: RetryingPolicyOptions = {}) {
    super();
    this.#options = options;
  }

  override initial(): RetryingState {
    return { servers: [], attempts: new Map() };
  }

  override reduce(
    state: RetryingState,
    event: PolicyEvent,
  ): readonly PolicyEffect[] {
    switch (event.type) {
      case "server_seen":
        state.servers.push(event.server);
        return [];
      case "arrived":
        return [this.#dispatch(state, event.work.request, 0)];
      case "failed": {
        const { request, kind, outcome, deliveredTokens } = event;
        const used = state.attempts.get(request) ?? 0;
        if (used >= (this.#options.attempts ?? 2)) {
          return [{ type: "refuse", request, kind, outcome }];
        }
        return [this.#dispatch(state, request, deliveredTokens)];
      }
      default:
        return [];
    }
  }

  #dispatch(
    state: RetryingState,
    request: RequestId,
    resumeFrom: number,
  ): PolicyEffect {
    const used = state.attempts.get(request) ?? 0;
    state.attempts.set(request, used + 1);
    const server = state.servers[used % state.servers.length] as BackendServer;
    return {
      type: "dispatch",
      request,
      attempt: `attempt-${used}` as AttemptId,
      server: server.id,
      prefillServer: this.#options.prefillServer,
      priority: 3,
      resumeFrom,
    };
  }
}
