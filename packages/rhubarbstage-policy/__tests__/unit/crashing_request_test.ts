import type { Region } from "rhubarbstage";
import { FleetPolicy, type PolicyEffect } from "../../src/mod.ts";
import { makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

const servers = ["a", "b", "c", "d", "e", "f"];
const gossipDelay = 1_000;
const step = 100;

interface Mark {
  readonly at: number;
  readonly effect: Extract<PolicyEffect, { type: "publish_quarantine" }>;
}

/**
 * Sends one crashing request again and again, to each host in turn, as soon as
 * the last try is answered. Other requests run beside it.
 */
function crashFleet(repeatable: boolean) {
  const hosts = [0, 1].map((position) => {
    const region = "attica" as Region;
    const options = { region, seed: position + 1, hosts: 2, position };
    return new PolicyDriver(new FleetPolicy(options));
  });
  for (const host of hosts) {
    for (const id of servers) host.see(makeServer(id));
  }
  const marks: Mark[] = [];
  const crashed = new Set<string>();
  const refused = new Set<string>();
  let tries = 0;
  let answered = true;
  const take = (
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
      take(
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
        const { marks: told } = effect;
        host.send({ type: "quarantine_reported", now, marks: told });
      }
      const beside = makeWork(`beside-${index}-${now}`, {
        fingerprint: `beside-${now % 1_000}`,
        arrivedAt: now,
        deadlineAt: now + 60_000,
      });
      take(host, host.arrive(beside, now), now);
      for (const run of host.dispatches().slice(-3)) host.finish(run, now);
      take(host, host.tick(now), now);
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
    take(host, host.arrive(bad, now), now);
  }
  return { crashed: crashed.size, refused: refused.size, tries };
}

describe("a request that crashes each server that runs it", () => {
  // Guards against losing the fleet to one request that its caller repeats,
  // and against refusing the requests that ran beside it.
  test.each([true, false])(
    "costs at most two servers when repeatable is %p",
    (repeatable) => {
      const { crashed, refused, tries } = crashFleet(repeatable);
      expect(tries).toBeGreaterThan(10);
      expect(crashed).toBeLessThanOrEqual(2);
      expect(refused).toBe(0);
    },
  );
});
