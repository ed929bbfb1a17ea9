/**
 * Time for a decision of the policy at several numbers of known servers.
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
const requests = 40_000;
const warmUpRequests = 10_000;
const customers = 1_700;
const slots = 8;

/** Times from dispatch to first token and to the end, in milliseconds. */
const firstTokenTime = 100;
const runTime = 1_000;

interface Running {
  readonly effect: Extract<PolicyEffect, { type: "dispatch" }>;
  readonly startedAt: number;
}

/** Figures for each number of servers, in microseconds a request. */
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

/** Plays arrivals, tokens, ends and load reports at a part of capacity. */
function measure(servers: number, load: number): number {
  const random = new SeededRandom(7);
  const policy = new FleetPolicy({ region: regions[0] as Region });
  const state = policy.initial();
  for (let index = 0; index < servers; index += 1) {
    policy.reduce(state, seen(index, 0));
  }
  const gap = runTime / (servers * slots * load);
  let running: Running[] = [];
  let now = 0;
  let spent = 0;
  let counted = 0;
  // Runs take equally long, so they go on in the order of their start.
  let begun = 0;
  let ended = 0;
  const take = (effects: readonly PolicyEffect[]) => {
    for (const effect of effects) {
      if (effect.type !== "dispatch") continue;
      running.push({ effect, startedAt: now });
    }
  };
  const total = warmUpRequests + requests;
  for (let index = 0; index < total; index += 1) {
    now += gap;
    const work = workOf(index, now, random);
    const startedAt = performance.now();
    take(policy.reduce(state, { type: "arrived", now, work }));
    for (; begun < running.length; begun += 1) {
      const { effect, startedAt: at } = running[begun] as Running;
      if (at + firstTokenTime > now) break;
      const { request, attempt } = effect;
      const type = "first_token" as const;
      take(policy.reduce(state, { type, now, request, attempt }));
    }
    for (; ended < running.length; ended += 1) {
      const { effect, startedAt: at } = running[ended] as Running;
      if (at + runTime > now) break;
      const { request, attempt } = effect;
      take(policy.reduce(state, {
        type: "finished",
        now,
        request,
        attempt,
        promptTokens: 500,
        outputTokens: 100,
      }));
    }
    take(policy.reduce(state, seen(random.integer(servers), now)));
    if (index % 50 === 0) take(policy.reduce(state, { type: "tick", now }));
    if (index >= warmUpRequests) {
      spent += performance.now() - startedAt;
      counted += 1;
    }
    if (ended > 10_000) {
      running = running.slice(ended);
      begun -= ended;
      ended = 0;
    }
  }
  return spent / counted * 1_000;
}

function seen(index: number, now: number) {
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
      capacity: slots,
      acceptsNewWork: true,
    },
  } as const;
}

function workOf(index: number, now: number, random: SeededRandom) {
  const prompt = random.integer(2_000);
  return {
    request: `r${index}` as RequestId,
    customer: `c${random.integer(customers)}` as CustomerId,
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
