import { delay, type EditId, type Revision } from "rhubarbstage";
import {
  CallRecorder,
  isLinearizable,
  type SequentialModel,
} from "@rhubarbstage/test-support";
import { Cluster, type ClusterHost, type EditResult } from "./cluster.ts";

/** Maximum time until an accepted revision is in force, in milliseconds. */
const maxInForceDelay = 8_000;

/** Polls the revision of each host; records reverted and late revisions. */
class RevisionWatch {
  readonly problems: string[] = [];
  #cluster: Cluster;
  #stopping = new AbortController();
  #highest = new Map<string, number>();
  #accepted: { revision: number; at: number }[] = [];
  #running: Promise<void>[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  start(): void {
    for (const host of this.#cluster.hosts) {
      this.#running.push(this.#watch(host));
    }
  }

  /** Records that a revision has been accepted. */
  accept(revision: number): void {
    this.#accepted.push({ revision, at: performance.now() });
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    await Promise.all(this.#running);
  }

  async #watch(host: ClusterHost): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      const askedAt = performance.now();
      const status = await this.#cluster.status(host);
      if (status !== undefined && status.ready) {
        this.#checkStatus(host.name, { ...status, askedAt });
      }
      await delay(50);
    }
  }

  #checkStatus(
    host: string,
    status: { revision?: number; isolated: boolean; askedAt: number },
  ): void {
    const { revision = 0, isolated, askedAt } = status;
    const highest = this.#highest.get(host) ?? 0;
    if (revision < highest) {
      this.problems.push(`${host} reverted from ${highest} to ${revision}`);
    }
    this.#highest.set(host, Math.max(highest, revision));
    const requiredRevision = this.#accepted
      .filter(({ at }) => askedAt - at > maxInForceDelay)
      .reduce((most, { revision }) => Math.max(most, revision), 0);
    if (!isolated && revision < requiredRevision) {
      this.problems.push(
        `${host} is at ${revision}; ${requiredRevision} must be in force`,
      );
    }
  }
}

/** One edit of an operator; the same for each resend. */
interface RacingEdit {
  readonly id: string;
  readonly expected: number;
}

/** Sequential model: compare-and-set that remembers the edits it accepted. */
function createEditModel(
  revision: number,
): SequentialModel<
  { revision: number; accepted: Record<string, number> },
  RacingEdit,
  string
> {
  return {
    initial: { revision, accepted: {} },
    step: (state, { id, expected }) => {
      const prior = state.accepted[id];
      if (prior !== undefined) return { state, answer: `accepted ${prior}` };
      if (expected !== state.revision) return { state, answer: "conflict" };
      const next = state.revision + 1;
      const accepted = { ...state.accepted, [id]: next };
      return {
        state: { revision: next, accepted },
        answer: `accepted ${next}`,
      };
    },
  };
}

/** Thrown for a send that returned neither a revision nor a conflict. */
class FailedEdit extends Error {}

describe("configuration", () => {
  let cluster: Cluster;
  let edits = 0;

  afterEach(() => cluster.stop());

  function edit(
    host: ClusterHost,
    options: { expected: number; value: number; id?: string },
  ): Promise<EditResult> {
    edits += 1;
    return cluster.edit(host, {
      edit_id: (options.id ?? `edit-${edits}`) as EditId,
      expected_revision: options.expected as Revision,
      operations: [{ path: "deadline_ms", set: options.value }],
    });
  }

  async function currentRevision(): Promise<number> {
    const statuses = await Promise.all(
      cluster.hosts.map((host) => cluster.status(host)),
    );
    return Math.max(...statuses.map((status) => status?.revision ?? 0));
  }

  // Guards against two accepted edits for one revision, an edit that a resend
  // applies twice, and a revision that is late or reverts on any host.
  test("accepts one edit for each revision and never reverts", async () => {
    cluster = await Cluster.start({
      seed: 201,
      replicas: 3,
      hostsWithoutDataFolder: 1,
    });
    await cluster.check(async () => {
      const watch = new RevisionWatch(cluster);
      watch.start();
      let revision = await currentRevision();
      const race = async () => {
        const sends = cluster.hosts.map((host, number) =>
          edit(host, {
            expected: revision,
            value: 4_000 + number,
            id: `race-${revision}-${number}`,
          })
        );
        const results = await Promise.all(sends);
        const winners = results.filter(({ status }) => status === 200);
        expect(winners.length).toBeLessThanOrEqual(1);
        const [winner] = winners;
        if (winner === undefined) return;
        expect(winner.revision).toBe(revision + 1);
        revision = winner.revision;
        watch.accept(revision);
        const number = results.indexOf(winner);
        const resent = await edit(cluster.host((number + 1) % 4), {
          expected: revision - 1,
          value: 4_000 + number,
          id: `race-${revision - 1}-${number}`,
        });
        if (resent.status === 200) expect(resent.revision).toBe(revision);
      };
      const firstRevision = revision;
      for (let round = 0; round < 3; round += 1) await race();
      expect(revision).toBe(firstRevision + 3);

      const leader = await cluster.leaderOf("control");
      cluster.isolate(leader, { loss: "hold" });
      await delay(2_500);
      const other = cluster.hosts.find((host) => host !== leader);
      const duringCut = await edit(other as ClusterHost, {
        expected: revision,
        value: 5_000,
      });
      expect(duringCut.status).toBe(200);
      revision = duringCut.revision;
      watch.accept(revision);
      await cluster.until(
        "the cut-off host is isolated",
        async () => (await cluster.status(leader))?.isolated === true,
      );
      const refused = await edit(leader, { expected: revision, value: 1 });
      expect(refused.kind).toBe("isolated");
      await delay(3_000);
      cluster.heal();

      const lost = cluster.hosts.find((host) =>
        host.replica && host !== leader
      ) as ClusterHost;
      await cluster.kill(lost);
      await cluster.restart(lost, { loseDisk: true });
      await cluster.until(
        "the host answers",
        async () => await cluster.status(lost) !== undefined,
      );
      expect((await cluster.status(lost))?.ready).toBe(false);
      const healthy = cluster.hosts.find((host) =>
        host.replica && host !== lost
      ) as ClusterHost;
      await cluster.operate(healthy, ["repair", "--lost", lost.name]);
      await cluster.until("all hosts are at the revision", async () => {
        const statuses = await Promise.all(
          cluster.hosts.map((host) => cluster.status(host)),
        );
        return statuses.every((status) => status?.revision === revision);
      }, maxInForceDelay);
      await race();
      await delay(1_500);
      await watch.stop();
      expect(watch.problems).toEqual([]);
    });
  });

  // Guards against two accepted edits for one revision, and against an edit
  // that is lost, applied twice or applied despite "not run", while operators
  // race and resend through hosts that are killed, paused and cut off.
  test("is linearizable while operators race through faults", async () => {
    cluster = await Cluster.start({
      seed: 203,
      replicas: 3,
      hostsWithoutDataFolder: 1,
    });
    await cluster.check(async () => {
      const first = await currentRevision();
      const recorder = new CallRecorder<RacingEdit, string>();
      const stopping = new AbortController();
      let latest = first;
      const operators = [0, 1, 2, 3].map(async (operator) => {
        for (let round = 0; !stopping.signal.aborted; round += 1) {
          const id = `operator-${operator}-${round}`;
          const expected = Math.max(latest, await currentRevision());
          const accepted = await submit(recorder, { id, expected });
          latest = Math.max(latest, accepted);
          await delay(cluster.random.integer(100));
        }
      });
      await delay(300);
      const leader = await cluster.leaderOf("control");
      leader.process.pause();
      await delay(2_500);
      leader.process.resume();
      await delay(500);
      const next = await cluster.leaderOf("control");
      cluster.isolate(next, { loss: "hold", outgoingOnly: true });
      await delay(2_500);
      cluster.heal();
      await delay(500);
      const last = await cluster.leaderOf("control");
      await cluster.kill(last);
      await delay(1_500);
      await cluster.restart(last);
      await cluster.untilReady();
      stopping.abort();
      await Promise.all(operators);
      const { calls } = recorder;
      const won = calls.filter(({ answer }) => answer?.startsWith("accepted"));
      const unknown = calls.filter(({ answer }) => answer === undefined);
      cluster.driver.recordEvent(
        "operators",
        `${calls.length} sends, ${won.length} won, ${unknown.length} unknown`,
      );
      expect(won.length).toBeGreaterThan(10);
      expect(isLinearizable(calls, createEditModel(first))).toBe(true);
    });
  });

  async function submit(
    recorder: CallRecorder<RacingEdit, string>,
    call: RacingEdit,
  ): Promise<number> {
    for (let sends = 0; sends < 4; sends += 1) {
      const host = cluster.random.pick(cluster.hosts);
      const perform = async () => {
        const { id, expected } = call;
        const result = await edit(host, { expected, id, value: 4_000 });
        if (result.status === 200) return `accepted ${result.revision}`;
        if (result.kind === "revision_conflict") return "conflict";
        throw new FailedEdit(result.outcome);
      };
      // A send answered "not run" is left out, so that its effect would fail
      // the linearizability check.
      const isUnknown = (error: unknown) =>
        error instanceof FailedEdit && error.message !== "not_run";
      const answer = await recorder.run(call, { perform, isUnknown })
        .catch(() => undefined);
      if (answer !== undefined) return Number(answer.split(" ")[1] ?? 0);
    }
    return 0;
  }

  // Guards against a restarted host that serves with a configuration it cannot
  // confirm, and against edits that are accepted without a quorum.
  test("keeps a restarted host not ready while there is no quorum", async () => {
    cluster = await Cluster.start({ seed: 202, replicas: 3 });
    await cluster.check(async () => {
      const revision = await currentRevision();
      const [first, second, third] = cluster.hosts;
      if (!first || !second || !third) throw new Error("Need three hosts");
      await cluster.kill(second);
      third.process.pause();
      await cluster.kill(first);
      await cluster.restart(first);
      await cluster.until(
        "the host answers",
        async () => await cluster.status(first) !== undefined,
      );
      await delay(1_500);
      const status = await cluster.status(first);
      expect(status?.ready).toBe(false);
      const refused = await edit(first, { expected: revision, value: 4_500 });
      expect(refused.status).not.toBe(200);
      third.process.resume();
      await cluster.until(
        "the host is ready",
        async () => (await cluster.status(first))?.ready === true,
      );
      expect(await currentRevision()).toBe(revision);
    });
  });
});
