import fc from "fast-check";
import type { ClaimKey, HostId, Incarnation } from "rhubarbstage";
import { decode, encode } from "@rhubarbstage/transport";
import { CallRecorder, isLinearizable } from "@rhubarbstage/test-support";
import {
  type ClaimView,
  type HostProcess,
  type JournalCommand,
  journalQueries,
  type JournalResult,
  JournalStateMachine,
  type StoredAnswer,
} from "../../src/mod.ts";
import { isNoQuorum } from "../../src/errors.ts";
import { flakyJournalGroup } from "./flaky_group.ts";

const hour = 3_600_000;
const day = 24 * hour;
const start = 1_800_000_000_000;

function processOf(host: string, incarnation = 1): HostProcess {
  return { host: host as HostId, incarnation: incarnation as Incarnation };
}

function command(
  type: JournalCommand["type"],
  fields: { key?: string; attempt?: string; host?: string; now?: number } = {},
): JournalCommand {
  const { key = "k", attempt = "a1", host = "h1", now = start } = fields;
  const base = {
    key,
    attempt,
    claimer: processOf(host),
    now,
    bodyHash: "body",
  };
  const answer: StoredAnswer = {
    status: 200,
    headers: {},
    body: new TextEncoder().encode(attempt),
    digest: attempt,
  };
  return { type, ...base, answer, newer: 2 } as unknown as JournalCommand;
}

type Holder = { attempt: string; bodyHash: string; state: string };

/** The naive model: one dictionary from key to holder. */
class NaiveClaims {
  holders = new Map<string, Holder>();
  ended = new Set<string>();

  apply(command: JournalCommand): string {
    if (command.type === "time") return "recorded";
    const { key, attempt } = command;
    const holder = this.holders.get(key);
    const attemptKey = `${key} ${attempt}`;
    if (command.type === "claim") {
      if (this.ended.has(attemptKey)) return "attempt_ended";
      if (holder === undefined) {
        const { bodyHash } = command;
        this.holders.set(key, { attempt, bodyHash, state: "open" });
        return "granted";
      }
      const reused = holder.bodyHash !== command.bodyHash;
      const own = holder.attempt === attempt;
      if (own && !reused && holder.state === "open") return "granted";
      if (!own && holder.state !== "settled") this.ended.add(attemptKey);
      return reused ? "reused" : "held";
    }
    const own = holder?.attempt === attempt;
    const settled = own && holder.state === "settled";
    if (command.type === "release") {
      if (holder?.state !== "settled") this.ended.add(attemptKey);
      if (own && !settled) this.holders.delete(key);
    } else if (own && command.type === "settle") holder.state = "settled";
    else if (own && !settled) holder.state = "unknown";
    return "recorded";
  }
}

const journalCommands = fc.array(
  fc.record({
    type: fc.constantFrom(
      "claim" as const,
      "claim" as const,
      "claim" as const,
      "settle" as const,
      "release" as const,
      "unknown" as const,
      "abandon" as const,
    ),
    key: fc.constantFrom("k1", "k2"),
    attempt: fc.constantFrom("a1", "a2", "a3", "a4"),
    bodyHash: fc.constantFrom("body", "body", "body", "other"),
    restore: fc.boolean(),
  }),
  { maxLength: 40 },
);

describe("claims", () => {
  // Guards against a key that is granted to a second attempt although the first
  // may have run, and against a release or settlement by another attempt.
  test("agree with a dictionary over random histories", () => {
    fc.assert(
      fc.property(journalCommands, (history) => {
        const machine = new JournalStateMachine();
        const model = new NaiveClaims();
        let state = machine.initial();
        for (const [index, step] of history.entries()) {
          const next = {
            ...command(step.type, step),
            bodyHash: step.bodyHash,
          } as JournalCommand;
          const expected = model.apply(next);
          expect(machine.apply(state, next).type).toBe(expected);
          const view = journalQueries.claim(state, { key: step.key });
          expect(view.type).toBe(model.holders.get(step.key)?.state ?? "free");
          if (step.restore) {
            state = machine.restore(decode(encode(machine.snapshot(state))));
          }
          expect(index).toBeLessThan(40);
        }
      }),
      { seed: 11, numRuns: 600 },
    );
  });

  // Guards against two holders of a key after lost answers and late or repeated
  // commands.
  test("are linearizable while claimers race", async () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const group = flakyJournalGroup({ seed, rate: 0.3 });
      const recorder = new CallRecorder<JournalCommand, string>();
      const claimers = ["x", "y", "z"].map(async (name) => {
        for (let round = 0; round < 2; round += 1) {
          const attempt = `${name}${round}`;
          const end = round === 0 ? "release" : "settle";
          for (const type of ["claim", end] as const) {
            const call = command(type, { attempt, host: name });
            const perform = async () => (await group.propose(call)).type;
            const options = { perform, isUnknown: isNoQuorum };
            const answer = await recorder.run(call, options);
            if (type === "claim" && answer !== "granted") break;
          }
        }
      });
      await Promise.all(claimers);
      const ordered = isLinearizable(recorder.calls, {
        initial: { holder: "", state: "free", ended: [] as string[] },
        step: (state, call) => {
          const { attempt } = call as { attempt: string };
          const own = state.holder === attempt;
          const { ended } = state;
          if (call.type === "claim") {
            if (ended.includes(attempt)) {
              return { state, answer: "attempt_ended" };
            }
            const free = state.state === "free";
            if (!free && !(own && state.state === "open")) {
              const lost = state.state === "open" && !own;
              const next = lost
                ? { ...state, ended: [...ended, attempt] }
                : state;
              return { state: next, answer: "held" };
            }
            const taken = { holder: attempt, state: "open", ended };
            return { state: taken, answer: "granted" };
          }
          if (call.type === "settle") {
            const next = own ? { ...state, state: "settled" } : state;
            return { state: next, answer: "recorded" };
          }
          if (own && state.state === "settled") {
            return { state, answer: "recorded" };
          }
          const after = { ...state, ended: [...ended, attempt] };
          const freed = { ...after, holder: "", state: "free" };
          return { state: own ? freed : after, answer: "recorded" };
        },
      });
      expect({ seed, ordered }).toEqual({ seed, ordered: true });
    }
  });
});

describe("JournalStateMachine", () => {
  function machineWith(bounds = {}) {
    const machine = new JournalStateMachine(bounds);
    const state = machine.initial();
    const apply = (next: JournalCommand): JournalResult =>
      machine.apply(state, next);
    const view = (key = "k"): ClaimView =>
      journalQueries.claim(state, { key: key as ClaimKey });
    /** Reports a time from two hosts, which advances the journal's time. */
    const pass = (now: number) => {
      apply(command("time", { host: "h1", now }));
      apply(command("time", { host: "h2", now }));
    };
    return { apply, view, pass, state };
  }

  // Guards against a second run: a silent claimer may be paused and still send.
  test("never frees an open claim by time within the retention", () => {
    const { apply, view, pass } = machineWith();
    apply(command("claim"));
    for (let hours = 1; hours < 30 * 24; hours += 7) {
      pass(start + hours * hour);
      const attempt = `resend-${hours}`;
      expect(apply(command("claim", { attempt })).type).toBe("held");
    }
    expect(view().type).toBe("unknown");
    apply(command("settle"));
    expect(view().type).toBe("settled");
  });

  // Guards against answers kept for ever, tombstones ended early and keys never
  // freed.
  test("keeps answers for a day and tombstones for 30 days", () => {
    const { apply, view, pass, state } = machineWith();
    apply(command("claim"));
    apply(command("settle"));
    pass(start + day - 2 * hour);
    expect(view().type).toBe("settled");
    pass(start + day + 2 * hour);
    expect(view().type).toBe("expired");
    expect(state.answerBytes).toBe(0);
    pass(start + 30 * day - 2 * hour);
    expect(apply(command("claim", { attempt: "a2" })).type).toBe("held");
    pass(start + 30 * day + 2 * hour);
    expect(apply(command("claim", { attempt: "a2" })).type).toBe("granted");
  });

  // Guards against one host with a wrong clock that frees every key.
  test("does not advance its time by the clock of one host", () => {
    const { apply, view } = machineWith();
    apply(command("claim"));
    apply(command("settle"));
    const wrong = start + 400 * day;
    apply(command("time", { host: "h2", now: wrong }));
    apply(command("time", { host: "h2", now: wrong + day }));
    apply(command("time", { host: "h3", now: start + 60_000 }));
    expect(view().type).toBe("settled");
  });

  // Guards against a claim left open by a command that arrives after the
  // release.
  test("refuses a claim whose attempt was released before", () => {
    const { apply, view } = machineWith();
    apply(command("release"));
    expect(apply(command("claim")).type).toBe("attempt_ended");
    expect(view().type).toBe("free");
    expect(apply(command("claim", { attempt: "a2" })).type).toBe("granted");
    apply(command("release"));
    expect(view().type).toBe("open");
  });

  // Guards against abandoning the claim of a process that still runs.
  test("abandons a claim only for a newer process of its host", () => {
    const { apply, view } = machineWith();
    apply(command("claim"));
    const abandon = command("abandon") as JournalCommand & { newer: number };
    apply({ ...abandon, newer: 1 as Incarnation } as JournalCommand);
    expect(view().type).toBe("open");
    apply(abandon);
    expect(view().type).toBe("unknown");
    expect(apply(command("claim", { attempt: "a2" })).type).toBe("held");
  });

  // Guards against memory that grows with the number of callers.
  test("refuses claims above its limit and drops the oldest answers", () => {
    const { apply, view, state } = machineWith({
      maxClaims: 3,
      maxAnswerBytes: 5,
    });
    for (const key of ["k1", "k2", "k3"]) {
      apply(command("claim", { key }));
      apply(command("settle", { key }));
    }
    expect(apply(command("claim", { key: "k4" })).type).toBe("full");
    expect(state.answerBytes).toBeLessThanOrEqual(5);
    expect(view("k1").type).toBe("expired");
    expect(view("k3").type).toBe("settled");
  });

  // Guards against one command that expires a busy hour at once and delays all
  // claims.
  test("expires a bounded number of claims with each command", () => {
    const { apply, pass, state } = machineWith();
    for (let number = 0; number < 1_000; number += 1) {
      apply(command("release", { key: `k${number}` }));
    }
    const before = state.claims.size;
    apply(command("time", { host: "h1", now: start + 5 * hour }));
    apply(command("time", { host: "h2", now: start + 5 * hour }));
    expect(before - state.claims.size).toBe(256);
    for (let round = 0; round < 3; round += 1) pass(start + 5 * hour);
    expect(state.claims.size).toBe(0);
  });
});
