/**
 * Decisions with `routeByRemainingWork` off, compared with those recorded before
 * the setting existed. Guards against changes of decisions, or of the order of
 * random numbers behind them, where the setting is off.
 */

import { createHash } from "node:crypto";
import type {
  AvailabilityZone,
  BackendServerId,
  HostId,
  Region,
  RequestId,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import { FleetPolicy } from "../../src/fleet_policy.ts";
import type { PolicyEffect, PolicyEvent } from "../../src/types.ts";
import { chat, makeServer, makeWork } from "./fixtures.ts";

const regions = ["attica", "crete"] as Region[];
const requests = 1_500;
const interval = 6;
const minDecisions = 1_000;
/** Digests of the decisions of the version before the setting. */
const recordedDigests = {
  shared: "291234f9bd97c76d57e234f2c82f581f31cf7653b951e9e9f5826c578b85b327",
  separate: "b1e1eafb6e1cfb02c80af798587f13f44348e98f1eb46ac7b58def2636c133ec",
};

/** Plays one sequence of arrivals, progress and reports; returns decisions. */
function play(shareEngineState: boolean): string[] {
  const policy = new FleetPolicy({
    region: regions[0]!,
    seed: 11,
    hosts: 5,
    settings: { shareEngineState },
  });
  const state = policy.initial();
  const random = new SeededRandom(5);
  const decisions: string[] = [];
  const pending: { readonly at: number; readonly event: PolicyEvent }[] = [];
  const send = (event: PolicyEvent) => {
    for (const effect of policy.reduce(state, event)) {
      const decision = describeDecision(effect);
      if (decision !== undefined) decisions.push(decision);
      if (effect.type !== "dispatch") continue;
      const { request, attempt } = effect;
      const start = event.now + 20 + random.integer(60);
      const end = start + 20 + random.integer(300);
      pending.push(
        {
          at: start,
          event: { type: "first_token", now: start, request, attempt },
        },
        {
          at: end,
          event: {
            type: "finished",
            now: end,
            request,
            attempt,
            promptTokens: 500,
            outputTokens: 10 + random.integer(90),
          },
        },
      );
      pending.sort((left, right) => left.at - right.at);
    }
  };
  const report = (index: number, now: number, load?: number) =>
    send({
      type: "server_seen",
      now,
      server: makeServer(`server-${index}`, {
        region: regions[index % 2]!,
        availabilityZone: `zone-${index % 4}` as AvailabilityZone,
        ...(index < 8 ? { cacheTokens: 90_000 } : {
          models: [],
          services: ["charges" as ServiceName],
        }),
        ...(index < 4 ? { role: "prefill" as const } : {}),
        ...(load === undefined ? {} : {
          load: {
            runningRequests: load,
            queuedRequests: load >> 1,
            cacheTokensUsed: 0,
            cacheTokensTotal: 0,
            pace: 0.5 + load,
          },
        }),
      }),
    });
  for (let index = 0; index < 12; index += 1) report(index, 0);
  for (let index = 0; index < requests; index += 1) {
    const now = index * interval;
    while (pending.length > 0 && pending[0]!.at <= now) {
      send(pending.shift()!.event);
    }
    const parts = [
      { id: `part-${random.integer(5)}`, tokens: 2_000 },
      { id: `own-${index}`, tokens: 500 },
    ];
    const isPlain = random.next() < 0.4;
    send({
      type: "arrived",
      now,
      work: makeWork(`r${index}`, {
        arrivedAt: now,
        deadlineAt: now + 5_000,
        kind: `kind-${random.integer(3)}` as WorkKind,
        promptTokens: 2_500,
        promptParts: parts,
        expectedOutputTokens: 20 + random.integer(100),
        rank: random.integer(3),
        ...(isPlain
          ? { service: "charges" as ServiceName, model: undefined! }
          : {}),
      }),
    });
    if (shareEngineState && index % 7 === 0) {
      send({
        type: "placement_requested",
        now,
        from: "host-2" as HostId,
        query: {
          request: `q${index}` as RequestId,
          model: chat,
          promptTokens: 2_500,
          outputTokens: 50,
          parts,
          rank: 1,
          waited: 1,
          firstTokenTarget: 1_000,
          startTimeout: 4_000,
          excludedServers: ["server-1" as BackendServerId],
          suspect: false,
        },
      });
    }
    if (index % 3 === 0) report(random.integer(12), now, random.integer(4));
    if (index % 5 === 0) send({ type: "tick", now });
  }
  return decisions;
}

function describeDecision(effect: PolicyEffect): string | undefined {
  switch (effect.type) {
    case "dispatch":
      return `${effect.request} ${effect.server} ${effect.prefillServer ?? ""}`;
    case "refuse":
      return `${effect.request} ${effect.kind}`;
    case "cancel":
      return `${effect.request} ${effect.reason}`;
    case "answer_placement": {
      const { request, placement } = effect;
      return placement.type === "placed"
        ? `${request} ${placement.server} ${placement.prefillServer ?? ""}`
        : `${request} ${placement.type}`;
    }
    default:
      return undefined;
  }
}

test.each(
  [
    ["shared", true],
    ["separate", false],
  ] as const,
)("decisions on %s engines are unchanged", (name, isShared) => {
  const decisions = play(isShared);
  expect(decisions.length).toBeGreaterThan(minDecisions);
  const digest = createHash("sha256").update(decisions.join("\n"));
  expect(digest.digest("hex")).toBe(recordedDigests[name]);
});
