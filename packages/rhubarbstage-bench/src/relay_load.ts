/**
 * Load generators of the relay benchmark.
 *
 * @module
 */

import { delay } from "rhubarbstage";
import { Agent, request } from "undici";

/** Result of one load. */
export interface LoadResult {
  /** Time from the intended arrival to the first token, in milliseconds. */
  readonly firstTokens: number[];
  /**
   * Server-sent events received during the measurement; the fake engine sends one
   * per token, plus the closing events of an answer.
   */
  tokens: number;
  /** Server-sent events received in total, also before and after it. */
  allTokens: number;
  /** Requests that ended without `[DONE]`. */
  failures: number;
}

/** Options of a load; times in milliseconds. */
export interface LoadOptions {
  readonly url: string;
  /** Tokens of each answer. */
  readonly tokens: number;
  /** Duration before the measurement. */
  readonly warmUp: number;
  readonly duration: number;
}

/** Prompt length in characters, about 500 tokens. */
const promptLength = 2_000;

/** Sends requests at a constant rate, independent of earlier answers. */
export async function runOpenLoad(
  options: LoadOptions & { readonly requestsPerSecond: number },
): Promise<LoadResult> {
  const run = new LoadRun(options);
  const interval = 1_000 / options.requestsPerSecond;
  const running: Promise<void>[] = [];
  for (let due = run.start; due < run.end; due += interval) {
    const wait = due - performance.now();
    if (wait > 0) await delay(wait);
    running.push(run.send(due));
  }
  run.stopCounting();
  await Promise.all(running);
  await run.close();
  return run.result;
}

/** Keeps a constant number of requests running. */
export async function runClosedLoad(
  options: LoadOptions & { readonly concurrency: number },
): Promise<LoadResult> {
  const run = new LoadRun(options);
  const callers = Array.from({ length: options.concurrency }, async () => {
    while (performance.now() < run.end) await run.send(performance.now());
  });
  await delay(run.end - performance.now());
  run.stopCounting();
  await Promise.all(callers);
  await run.close();
  return run.result;
}

class LoadRun {
  readonly result: LoadResult = {
    firstTokens: [],
    tokens: 0,
    allTokens: 0,
    failures: 0,
  };
  readonly start = performance.now();
  readonly end: number;
  #options: LoadOptions;
  #agent = new Agent({ connections: null, pipelining: 1 });
  #sent = 0;
  #countFrom: number;
  #stopped = false;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#countFrom = this.start + options.warmUp;
    this.end = this.#countFrom + options.duration;
  }

  stopCounting(): void {
    this.#stopped = true;
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  async send(due: number): Promise<void> {
    const { url, tokens } = this.#options;
    this.#sent += 1;
    const prompt = `Request ${this.#sent}. `.padEnd(promptLength, "water ");
    const answer = await request(`${url}/v1/completions`, {
      method: "POST",
      headers: {
        "content-type": "application/json",
        authorization: "Bearer key",
      },
      body: JSON.stringify({
        model: "small",
        prompt,
        max_tokens: tokens,
        stream: true,
      }),
      dispatcher: this.#agent,
    });
    let first = true;
    let tail = "";
    for await (const chunk of answer.body as AsyncIterable<Buffer>) {
      const events = countEvents(chunk);
      if (events === 0) continue;
      if (first) this.#countFirst(due);
      first = false;
      this.#countTokens(events);
      tail = chunk.toString("latin1", Math.max(0, chunk.length - 16));
    }
    if (!tail.endsWith("data: [DONE]\n\n")) this.result.failures += 1;
  }

  #countFirst(due: number): void {
    if (due < this.#countFrom || this.#stopped) return;
    this.result.firstTokens.push(performance.now() - due);
  }

  #countTokens(count: number): void {
    this.result.allTokens += count;
    if (this.#stopped || performance.now() < this.#countFrom) return;
    this.result.tokens += count;
  }
}

/**
 * Counts the blank lines that end events in a chunk. It misses one that is split
 * between two chunks, and it counts comments as events.
 */
function countEvents(chunk: Buffer): number {
  let count = 0;
  let index = chunk.indexOf("\n\n");
  while (index !== -1) {
    count += 1;
    index = chunk.indexOf("\n\n", index + 2);
  }
  return count;
}
