import { delay } from "rhubarbstage";
import { type ChargeAnswer, Cluster } from "./cluster.ts";

/** Rounds of sends of one charge before its caller gives up. */
const maxSendsPerCharge = 5;

/** Checks answers against the service's records; counts them by outcome. */
async function checkAnswers(
  cluster: Cluster,
  answers: readonly ChargeAnswer[],
): Promise<Readonly<Record<string, number>>> {
  const { counts, executions } = await cluster.serviceRecords();
  const sendsThatRan = new Set(executions.map(({ sendId }) => sendId));
  const problems: string[] = [];
  const bodies = new Map<string, string>();
  for (const { key, sendId, status, outcome, kind, body } of answers) {
    const count = counts[key] ?? 0;
    if (count > 1) problems.push(`${key} ran ${count} times`);
    if (outcome === "not_run" && sendsThatRan.has(sendId)) {
      problems.push(`${sendId} of ${key} ran; answered not_run (${kind})`);
    }
    if (outcome === "ran" && count !== 1) {
      problems.push(`${key} ran ${count} times; answered ${status}`);
    }
    if (status !== 200) continue;
    const first = bodies.get(key) ?? body;
    if (first !== body) problems.push(`${key} got two different answers`);
    bodies.set(key, first);
  }
  for (const key of new Set(answers.map(({ key }) => key))) {
    const own = answers.filter((answer) => answer.key === key);
    const refused = own.every(({ outcome }) => outcome === "not_run");
    if (refused && counts[key]) problems.push(`${key} ran; all were not_run`);
  }
  expect(problems).toEqual([]);
  const tally: Record<string, number> = {};
  for (const { outcome } of answers) {
    tally[outcome || "lost"] = (tally[outcome || "lost"] ?? 0) + 1;
  }
  return tally;
}

/** Sends each charge twice at once, and again until one send succeeds. */
class Callers {
  readonly answers: ChargeAnswer[] = [];
  #cluster: Cluster;
  #stopped = false;
  #running: Promise<void>[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  start(callers: number): void {
    for (let caller = 0; caller < callers; caller += 1) {
      this.#running.push(this.#run(caller));
    }
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    await Promise.all(this.#running);
  }

  async #run(caller: number): Promise<void> {
    for (let number = 0; !this.#stopped; number += 1) {
      const key = `charge-${caller}-${number}`;
      for (let sends = 0; sends < maxSendsPerCharge; sends += 1) {
        const [first, second] = await Promise.all([
          this.#send(key),
          this.#send(key),
        ]);
        if (first.status === 200 || second.status === 200) break;
        await delay(50);
      }
    }
  }

  async #send(key: string): Promise<ChargeAnswer> {
    const host = this.#cluster.random.pick(this.#cluster.hosts);
    const answer = await this.#cluster.charge(host, key);
    this.answers.push(answer);
    return answer;
  }
}

describe("charges", () => {
  let cluster: Cluster;

  async function run(
    options: {
      seed: number;
      /** Outcomes that the faults must produce at least once. */
      outcomes: readonly string[];
      faults: () => Promise<void>;
    },
  ): Promise<void> {
    cluster = await Cluster.start({
      seed: options.seed,
      replicas: 3,
      hostsWithoutDataFolder: 1,
    });
    try {
      await cluster.check(async () => {
        const callers = new Callers(cluster);
        callers.start(6);
        await options.faults();
        cluster.heal();
        await cluster.untilReady();
        await delay(500);
        await callers.stop();
        const tally = await checkAnswers(cluster, callers.answers);
        cluster.driver.recordEvent("callers", JSON.stringify(tally));
        for (const outcome of options.outcomes) {
          expect(tally[outcome]).toBeGreaterThan(0);
        }
      });
    } finally {
      await cluster.stop();
    }
  }

  // Guards against a second run of a charge, or a false "not run", while hosts
  // are killed with open claims and the service breaks connections.
  test("run at most once while hosts are killed", async () => {
    await run({
      seed: 101,
      outcomes: ["ran", "not_run", "may_have_run"],
      faults: async () => {
        await cluster.switchService({
          delayAfter: 20,
          closeBefore: 3,
          closeAfter: 3,
          breakAnswer: 3,
          refuse: 3,
        });
        await delay(500);
        for (const number of [3, 1]) {
          await cluster.kill(cluster.host(number));
          await delay(500);
          await cluster.restart(cluster.host(number));
          await delay(1_000);
        }
      },
    });
  });

  // Guards against a paused or isolated host that resumes claims from before,
  // and against requests that a partition delivers late.
  test("run at most once through pauses and partitions", async () => {
    await run({
      seed: 102,
      outcomes: ["ran", "may_have_run"],
      faults: async () => {
        const leader = await cluster.leaderOf("control");
        leader.process.pause();
        await delay(4_000);
        leader.process.resume();
        cluster.fault("service", { forward: { loss: "hold" } });
        await delay(700);
        cluster.fault("service", { forward: { loss: "none" } });
        cluster.fault("service", { backward: { loss: "discard" } });
        await delay(700);
        cluster.heal();
        const next = await cluster.leaderOf("control");
        cluster.isolate(next, { loss: "hold" });
        await delay(4_000);
        cluster.heal();
        await delay(500);
      },
    });
  });

  // Guards against a second run under two faults at once: a lost quorum while
  // the service answers, and a paused host while another is cut off.
  test("run at most once under double faults", async () => {
    await run({
      seed: 103,
      outcomes: ["ran", "may_have_run"],
      faults: async () => {
        await cluster.switchService({ delayAfter: 100, closeAfter: 2 });
        const [first, second, third] = cluster.hosts.slice(0, 3);
        if (!first || !second || !third) throw new Error("Need three hosts");
        await Promise.all([cluster.kill(first), cluster.kill(second)]);
        await delay(1_500);
        await cluster.restart(first);
        await cluster.restart(second);
        await cluster.untilReady();
        cluster.isolate(third, { loss: "hold", outgoingOnly: true });
        first.process.pause();
        await delay(3_000);
        first.process.resume();
        cluster.heal();
        await delay(500);
      },
    });
  });
});
