import type {
  AvailabilityZone,
  BackendServerId,
  CustomerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import type {
  BackendServer,
  Policy,
  PolicyEffect,
  PolicyEvent,
  Work,
  WorkSettings,
} from "../../src/mod.ts";

export type Dispatch = Extract<PolicyEffect, { type: "dispatch" }>;
export type Refusal = Extract<PolicyEffect, { type: "refuse" }>;
export type Cancel = Extract<PolicyEffect, { type: "cancel" }>;

export const chat = "chat" as ModelName;

export function makeServer(
  id: string,
  changes: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: id as BackendServerId,
    incarnation: 1 as Incarnation,
    region: "attica" as Region,
    availabilityZone: "attica-1" as AvailabilityZone,
    models: [chat],
    services: [],
    role: "mixed",
    capacity: 4,
    acceptsNewWork: true,
    ...changes,
  };
}

export type WorkChanges = Partial<Omit<Work, "settings">> & {
  settings?: Partial<WorkSettings>;
};

export function makeWork(id: string, changes: WorkChanges = {}): Work {
  return {
    request: id as RequestId,
    customer: "records" as CustomerId,
    service: "summaries" as ServiceName,
    kind: "chat" as WorkKind,
    model: chat,
    promptTokens: 500,
    outputTokenLimit: 200,
    prefixHashes: [],
    fingerprint: `fingerprint-${id}`,
    repeatable: true,
    resumable: true,
    arrivedAt: 0,
    deadlineAt: 60_000,
    ...changes,
    settings: {
      priority: 0,
      share: 1,
      requestsPerSecond: Infinity,
      tokensPerSecond: Infinity,
      floorRequestsPerSecond: 0,
      firstTokenTarget: 1_000,
      retryRatio: 0.1,
      ...changes.settings,
    },
  };
}

/** Drives a policy and records its effects. */
export class PolicyDriver<State> {
  readonly state: State;
  readonly effects: PolicyEffect[] = [];

  constructor(readonly policy: Policy<State>) {
    this.state = policy.initial();
  }

  send(event: PolicyEvent): readonly PolicyEffect[] {
    const effects = this.policy.reduce(this.state, event);
    this.effects.push(...effects);
    return effects;
  }

  seeServer(server: BackendServer, now = 0): readonly PolicyEffect[] {
    return this.send({ type: "server_seen", now, server });
  }

  arrive(work: Work, now = work.arrivedAt): readonly PolicyEffect[] {
    return this.send({ type: "arrived", now, work });
  }

  finish(dispatch: Dispatch, now: number): readonly PolicyEffect[] {
    return this.send({
      type: "finished",
      now,
      request: dispatch.request,
      attempt: dispatch.attempt,
      promptTokens: 500,
      outputTokens: 100,
    });
  }

  tick(now: number): readonly PolicyEffect[] {
    return this.send({ type: "tick", now });
  }

  dispatches(effects: readonly PolicyEffect[] = this.effects): Dispatch[] {
    return effects.filter((effect) => effect.type === "dispatch");
  }

  refusals(effects: readonly PolicyEffect[] = this.effects): Refusal[] {
    return effects.filter((effect) => effect.type === "refuse");
  }

  cancels(effects: readonly PolicyEffect[] = this.effects): Cancel[] {
    return effects.filter((effect) => effect.type === "cancel");
  }
}
