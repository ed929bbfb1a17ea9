import type { Region } from "rhubarbstage";
import { FleetPolicy, type PolicyEffect } from "../../src/mod.ts";
import { makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

const servers = ["a", "b", "c", "d", "e", "f"];
const gossipDelay = 1_000;
const step = 100;

interface PublishedMarks {
  readonly at: number;
  readonly effect: Extract<PolicyEffect, { type: "publish_quarantine" }>;
}

/**
 * Resends one crashing request to alternating hosts as soon as the previous try
 * is answered, while other requests run concurrently.
 */
function simulateCrashes(repeatable: boolean) {
  const hosts = [0, 1].map((position) => {
    const region = "attica" as Region;
    const options = { region, seed: position + 1, hosts: 2, position };
    return new PolicyDriver(new FleetPolicy(options));
  });
  for (const host of hosts) {
    for (const id of servers) host.seeServer(makeServer(id));
  }
  const marks: PublishedMarks[] = [];
  const crashed = new Set<string>();
  const refused = new Set<string>();
  let tries = 0;
  let answered = true;
  const applyEffects = (
    host: (typeof hosts)[number],
    effects: readonly PolicyEffect[],
    now: number,
  ) => {
    for (const effect of effects) {
      if (effect.type === "publish_quarantine") marks.push({ at: now, effect });
      if (effect.type === "refuse") {
        if (effect.request.startsWith("bad")) answered = true;
        else refused.add(effect.request);
      }
      if (effect.type !== "dispatch" || !effect.request.startsWith("bad")) {
        continue;
      }
      crashed.add(effect.server);
      const { request, attempt } = effect;
      applyEffects(
        host,
        host.send({
          type: "failed",
          now,
          request,
          attempt,
          kind: "backend_failed",
          outcome: "may_have_run",
          deliveredTokens: 0,
          connectionLost: true,
        }),
        now,
      );
    }
  };
  for (let now = 0; now < 20_000; now += step) {
    for (const [index, host] of hosts.entries()) {
      for (const { at, effect } of marks) {
        if (now - at !== gossipDelay) continue;
        const { marks: publishedMarks } = effect;
        host.send({ type: "quarantine_reported", now, marks: publishedMarks });
      }
      const concurrent = makeWork(`beside-${index}-${now}`, {
        fingerprint: `beside-${now % 1_000}`,
        arrivedAt: now,
        deadlineAt: now + 60_000,
      });
      applyEffects(host, host.arrive(concurrent, now), now);
      for (const run of host.dispatches().slice(-3)) host.finish(run, now);
      applyEffects(host, host.tick(now), now);
    }
    if (!answered) continue;
    answered = false;
    tries += 1;
    const host = hosts[tries % 2] as (typeof hosts)[number];
    const bad = makeWork(`bad-${tries}`, {
      fingerprint: "bad",
      arrivedAt: now,
      deadlineAt: now + 60_000,
      repeatable,
      resumable: repeatable,
    });
    applyEffects(host, host.arrive(bad, now), now);
  }
  return { crashed: crashed.size, refused: refused.size, tries };
}

describe("a request that crashes every server that runs it", () => {
  // Guards against a resent request that crashes the whole fleet, and against
  // refusing requests that ran concurrently with it.
  test.each([true, false])(
    "crashes at most two servers when repeatable is %p",
    (repeatable) => {
      const { crashed, refused, tries } = simulateCrashes(repeatable);
      expect(tries).toBeGreaterThan(10);
      expect(crashed).toBeLessThanOrEqual(2);
      expect(refused).toBe(0);
    },
  );
});
