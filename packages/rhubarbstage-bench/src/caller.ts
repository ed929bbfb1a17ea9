/**
 * Open-loop load generator: sends requests at their intended times, independent
 * of earlier answers.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { SeededRandom } from "rhubarbstage";
import { Agent, request as httpRequest } from "undici";
import type {
  CallerOptions,
  CallerRequest,
  CallerRequestEnd,
  CallerResult,
  RequestRecord,
  RequestStream,
} from "./protocol.ts";

interface Arrival {
  /** Milliseconds since the start of the run. */
  readonly at: number;
  readonly host: string;
  readonly straggler: boolean;
  readonly request: CallerRequest;
}

/** Wait for outstanding answers after the last arrival, in seconds. */
const answerTimeoutSeconds = 40;

/** Returns the rate of a stream at a time in seconds. */
export function rateAt(stream: RequestStream, second: number): number {
  let [before, rate] = stream.rate[0] ?? [0, 0];
  for (const [after, next] of stream.rate) {
    if (second < after) {
      const part = (second - before) / (after - before);
      return rate + (next - rate) * Math.max(0, part);
    }
    before = after;
    rate = next;
  }
  return rate;
}

/** Seeded arrivals of one stream: a Poisson process, thinned to the rate. */
function planArrivals(
  stream: RequestStream,
  options: CallerOptions,
  seed: number,
): Arrival[] {
  const random = new SeededRandom(seed);
  const peakRate = Math.max(...stream.rate.map(([, rate]) => rate)) *
    options.part;
  const arrivals: Arrival[] = [];
  if (peakRate <= 0) return arrivals;
  let second = 0;
  for (;;) {
    second += -Math.log(1 - random.next()) / peakRate;
    if (second >= options.duration) return arrivals;
    const accepted = random.next() * peakRate <
      rateAt(stream, second) * options.part;
    if (!accepted) continue;
    const straggler = random.next() < stream.stragglers.part;
    const factor = straggler ? stream.stragglers.factor : 1;
    arrivals.push({
      at: second * 1_000,
      host: random.pick(options.hosts),
      straggler,
      request: {
        id: `${stream.name}-${seed}-${arrivals.length}`,
        stream,
        promptTokens: randomBetween(stream.promptTokens, random) * factor,
        outputTokens: randomBetween(stream.outputTokens, random) * factor,
      },
    });
  }
}

function randomBetween(
  [least, most]: readonly [number, number],
  random: SeededRandom,
): number {
  return least + random.integer(most - least + 1);
}

/** Sends all arrivals and resolves with the records of their requests. */
export async function runCaller(options: CallerOptions): Promise<CallerResult> {
  const arrivals = options.streams
    .flatMap((stream, index) =>
      planArrivals(stream, options, options.seed * 1_000 + index)
    )
    .sort((left, right) => left.at - right.at);
  const agent = new Agent({
    connections: 1_000,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
  const records: RequestRecord[] = [];
  const pending: Promise<void>[] = [];
  for (const arrival of arrivals) {
    const wait = options.startAt + arrival.at - wallClock();
    if (wait > 1) await sleep(wait);
    const sent = send(arrival, options, agent)
      .then((record) => void records.push(record));
    pending.push(sent);
  }
  const answerTimeout = sleep(answerTimeoutSeconds * 1_000, undefined, {
    ref: false,
  });
  await Promise.race([Promise.all(pending), answerTimeout]);
  await agent.destroy();
  return { records };
}

async function send(
  arrival: Arrival,
  options: CallerOptions,
  dispatcher: Agent,
): Promise<RequestRecord> {
  const intendedAt = options.startAt + arrival.at;
  const base = {
    stream: arrival.request.stream.name,
    straggler: arrival.straggler,
    arrival: arrival.at,
  };
  let firstToken: number | undefined;
  try {
    const answer = await httpRequest(`${arrival.host}/run`, {
      method: "POST",
      body: JSON.stringify(arrival.request),
      dispatcher,
    });
    let text = "";
    for await (const part of answer.body) {
      text += part;
      if (text.startsWith("first\n")) firstToken ??= wallClock() - intendedAt;
    }
    const end = JSON.parse(text.replace("first\n", "")) as CallerRequestEnd;
    const total = wallClock() - intendedAt;
    const { queueWait } = end;
    if (end.end === "finished") {
      const tokens = arrival.request.promptTokens + end.outputTokens;
      firstToken ??= total;
      return {
        ...base,
        firstToken,
        total,
        end: "finished",
        untrue: false,
        queueWait,
        tokens,
      };
    }
    return {
      ...base,
      ...(firstToken === undefined ? {} : { firstToken }),
      total,
      end: end.outcome === "not_run" ? "refused" : "failed",
      ...(end.kind === undefined ? {} : { kind: end.kind }),
      untrue: end.outcome === "not_run" && end.attempts > 0,
      queueWait,
      tokens: 0,
    };
  } catch (error) {
    const total = wallClock() - intendedAt;
    const kind = String(error);
    return {
      ...base,
      total,
      end: "failed",
      kind,
      untrue: false,
      queueWait: 0,
      tokens: 0,
    };
  }
}

/** Milliseconds since the Unix epoch, with fractions. */
function wallClock(): number {
  return performance.timeOrigin + performance.now();
}
