/**
 * Time of a routing decision at several numbers of known servers.
 *
 * @module
 */

import { FleetPolicy, type PolicyEffect } from "@rhubarbstage/policy";
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
import { SeededRandom } from "rhubarbstage";
import type { Figure } from "./experiments.ts";

const serverCounts = [13, 130, 1_800];
const regions = ["attica", "macedonia", "crete"] as Region[];
const measuredRequests = 40_000;
const warmUpRequests = 10_000;
const customerCount = 1_700;
const slotsPerServer = 8;

/** Times from dispatch to first token and to the end, in milliseconds. */
const firstTokenTime = 100;
const runTime = 1_000;

interface RunningAttempt {
  readonly effect: Extract<PolicyEffect, { type: "dispatch" }>;
  readonly startedAt: number;
}

/** Measures each number of servers; values are microseconds per request. */
export function measureDecisions(): Figure[] {
  return serverCounts.flatMap((count) => {
    const light = measure(count, 0.5);
    const heavy = measure(count, 1.5);
    return [
      { name: `${count} servers, half load, microseconds`, value: light },
      { name: `${count} servers, overload, microseconds`, value: heavy },
    ];
  });
}

/**
 * Simulates arrivals, first tokens, ends, server announcements and ticks at a
 * load relative to all slots. Returns the mean time of the policy for all these
 * events per request, in microseconds.
 */
function measure(servers: number, load: number): number {
  const random = new SeededRandom(7);
  const policy = new FleetPolicy({ region: regions[0] as Region });
  const state = policy.initial();
  for (let index = 0; index < servers; index += 1) {
    policy.reduce(state, createServerSeen(index, 0));
  }
  const arrivalInterval = runTime / (servers * slotsPerServer * load);
  let running: RunningAttempt[] = [];
  let now = 0;
  let policyTime = 0;
  let countedRequests = 0;
  // All attempts take equally long, so they progress in order of their start.
  let nextFirstToken = 0;
  let nextFinish = 0;
  const dispatch = (effects: readonly PolicyEffect[]) => {
    for (const effect of effects) {
      if (effect.type !== "dispatch") continue;
      running.push({ effect, startedAt: now });
    }
  };
  const total = warmUpRequests + measuredRequests;
  for (let index = 0; index < total; index += 1) {
    now += arrivalInterval;
    const work = createWork(index, now, random);
    const startedAt = performance.now();
    dispatch(policy.reduce(state, { type: "arrived", now, work }));
    for (; nextFirstToken < running.length; nextFirstToken += 1) {
      const { effect, startedAt: at } =
        running[nextFirstToken] as RunningAttempt;
      if (at + firstTokenTime > now) break;
      const { request, attempt } = effect;
      const type = "first_token" as const;
      dispatch(policy.reduce(state, { type, now, request, attempt }));
    }
    for (; nextFinish < running.length; nextFinish += 1) {
      const { effect, startedAt: at } = running[nextFinish] as RunningAttempt;
      if (at + runTime > now) break;
      const { request, attempt } = effect;
      dispatch(policy.reduce(state, {
        type: "finished",
        now,
        request,
        attempt,
        promptTokens: 500,
        outputTokens: 100,
      }));
    }
    dispatch(
      policy.reduce(state, createServerSeen(random.integer(servers), now)),
    );
    if (index % 50 === 0) dispatch(policy.reduce(state, { type: "tick", now }));
    if (index >= warmUpRequests) {
      policyTime += performance.now() - startedAt;
      countedRequests += 1;
    }
    if (nextFinish > 10_000) {
      running = running.slice(nextFinish);
      nextFirstToken -= nextFinish;
      nextFinish = 0;
    }
  }
  return policyTime / countedRequests * 1_000;
}

function createServerSeen(index: number, now: number) {
  const region = regions[index % regions.length] as Region;
  return {
    type: "server_seen",
    now,
    server: {
      id: `server-${index}` as BackendServerId,
      incarnation: 1 as Incarnation,
      region,
      availabilityZone: `${region}-1` as AvailabilityZone,
      models: ["chat" as ModelName],
      services: [],
      role: "mixed",
      capacity: slotsPerServer,
      acceptsNewWork: true,
    },
  } as const;
}

function createWork(index: number, now: number, random: SeededRandom) {
  const prompt = random.integer(2_000);
  return {
    request: `r${index}` as RequestId,
    customer: `c${random.integer(customerCount)}` as CustomerId,
    service: "chat" as ServiceName,
    kind: "chat" as WorkKind,
    model: "chat" as ModelName,
    promptTokens: 500,
    outputTokenLimit: 200,
    prefixHashes: [`p${prompt}`, `p${prompt}-${random.integer(4)}`],
    fingerprint: `f${index}`,
    repeatable: true,
    resumable: true,
    arrivedAt: now,
    deadlineAt: now + 20_000,
    settings: {
      priority: random.integer(3),
      share: 1,
      requestsPerSecond: 1e6,
      tokensPerSecond: 1e9,
      floorRequestsPerSecond: 1,
      firstTokenTarget: 2_000,
      retryRatio: 0.1,
    },
  };
}
