/**
 * Fake engines and callers of a cluster, for integration tests.
 */

import { randomUUID } from "node:crypto";
import { request } from "undici";
import type { EditId, Revision } from "rhubarbstage";
import {
  type DrivenProcess,
  type FakeEngineOptions,
  type FakeEngineRecords,
  type FakeEngineSwitches,
  fakeText,
} from "@rhubarbstage/test-support";
import type { Cluster, ClusterHost } from "./cluster.ts";

const apiKey = "integration-customer-key";
const backendToken = "integration-backend-token";
const model = "small";

/** A fake engine in its own process. */
export interface FleetEngine {
  readonly id: string;
  readonly url: string;
  readonly process: DrivenProcess;
}

/** Response to one generation. */
export interface GenerationAnswer {
  readonly status: number;
  readonly text: string;
  /** Whether the stream ended with `[DONE]`. */
  readonly complete: boolean;
  /** Error kind of a refusal or an interrupted stream; empty without one. */
  readonly kind: string;
  readonly outcome: string;
}

/** Request for one generation. */
export interface GenerationCall {
  readonly prompt: string;
  readonly maxTokens: number;
}

/** Fake engines that serve one model in a cluster. */
export class EngineFleet {
  readonly engines: FleetEngine[] = [];
  #cluster: Cluster;

  private constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  /** Adds a model service to the settings tree and starts engines for it. */
  static async start(
    cluster: Cluster,
    options: readonly Partial<FakeEngineOptions>[],
  ): Promise<EngineFleet> {
    const fleet = new EngineFleet(cluster);
    await fleet.#addService();
    for (const [index, engine] of options.entries()) {
      await fleet.add({ id: `engine-${index}`, ...engine });
    }
    await fleet.#waitUntilServing();
    return fleet;
  }

  /** Starts one engine. */
  async add(options: Partial<FakeEngineOptions>): Promise<FleetEngine> {
    const id = options.id ?? `engine-${this.engines.length}`;
    const settings = {
      id,
      models: [model],
      announceOrigins: this.#cluster.hosts.map(({ url }) => url),
      announceToken: backendToken,
      decodeTokensPerSecond: 200,
      ...options,
    };
    const process = this.#cluster.driver.start("fake_engine", {
      name: id,
      arguments: [JSON.stringify(settings)],
    });
    const { url } = await process.ready<{ url: string }>();
    const engine = { id, url, process };
    this.engines.push(engine);
    return engine;
  }

  /** Streams one generation through a host. */
  async generate(
    host: ClusterHost,
    call: GenerationCall,
  ): Promise<GenerationAnswer> {
    try {
      const answer = await request(`${host.url}/v1/completions`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${apiKey}`,
          "content-type": "application/json",
        },
        body: JSON.stringify({
          model,
          prompt: call.prompt,
          max_tokens: call.maxTokens,
          stream: true,
        }),
        headersTimeout: 20_000,
        bodyTimeout: 20_000,
      });
      const outcome = String(answer.headers["rhubarbstage-outcome"] ?? "");
      const body = await answer.body.text();
      return { status: answer.statusCode, outcome, ...readStream(body) };
    } catch {
      return {
        status: 0,
        outcome: "",
        text: "",
        complete: false,
        kind: "lost",
      };
    }
  }

  async records(engine: FleetEngine): Promise<FakeEngineRecords> {
    const answer = await request(`${engine.url}/test/records`);
    return await answer.body.json() as FakeEngineRecords;
  }

  async switch(
    engine: FleetEngine,
    switches: Partial<FakeEngineSwitches>,
  ): Promise<void> {
    await this.#post(`${engine.url}/test/switch`, switches);
  }

  /** Makes an engine announce that it leaves. */
  async leave(engine: FleetEngine): Promise<void> {
    this.#cluster.driver.recordEvent(engine.id, "leave");
    await this.#post(`${engine.url}/test/leave`, {});
  }

  async #post(url: string, body: unknown): Promise<void> {
    const answer = await request(url, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    await answer.body.dump();
  }

  async #addService(): Promise<void> {
    const host = this.#cluster.host(0);
    const status = await this.#cluster.status(host);
    const set = { type: "model", models: [model], deadline_ms: 30_000 };
    const result = await this.#cluster.edit(host, {
      edit_id: randomUUID() as EditId,
      expected_revision: (status?.revision ?? 0) as Revision,
      operations: [{ path: "regions/*/services/chat", set }],
    });
    if (result.status !== 200) {
      throw new Error(
        `Adding the model service returned status ${result.status} (${result.kind})`,
      );
    }
  }

  async #waitUntilServing(): Promise<void> {
    for (const host of this.#cluster.hosts) {
      await this.#cluster.until(`${host.name} serves the model`, async () => {
        const answer = await this.generate(host, {
          prompt: `probe of ${host.name}`,
          maxTokens: 2,
        });
        return answer.complete;
      });
    }
  }
}

/** Returns the text that engines generate for a call. */
export function expectedText(call: GenerationCall): string {
  return fakeText(call.prompt, call.maxTokens);
}

function readStream(
  body: string,
): Pick<GenerationAnswer, "text" | "complete" | "kind"> {
  let text = "";
  let kind = "";
  let complete = false;
  if (!body.includes("data: ")) {
    return { text, complete, kind: JSON.parse(body).error.type };
  }
  for (const line of body.split("\n")) {
    if (!line.startsWith("data: ")) continue;
    const data = line.slice("data: ".length);
    if (data === "[DONE]") {
      complete = true;
      continue;
    }
    const event = JSON.parse(data);
    if (event.error !== undefined) kind = event.error.type;
    text += event.choices?.[0]?.text ?? "";
  }
  return { text, complete, kind };
}
