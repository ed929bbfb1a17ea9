/**
 * Origins of streams over several hosts. Pattern: all hosts that relay requests
 * lose power together, and their callers come back to others of them.
 */

import { setMaxListeners } from "node:events";
import {
  type AvailabilityZone,
  delay,
  type HostId,
  type Region,
  type RequestId,
  type ServiceName,
  type SoftwareVersion,
} from "rhubarbstage";
import type { HostRecord } from "@rhubarbstage/membership";
import type { BegunStream } from "@rhubarbstage/relay";
import { LocalNetwork } from "@rhubarbstage/transport";
import { AnswerOriginExchange } from "../../src/answer_origin_exchange.ts";

const keepers = ["k1", "k2", "k3", "k4", "k5"];
const regions = ["north", "south", "west"];

function makeRecord(host: string, index: number): HostRecord {
  const region = regions[index % regions.length] as Region;
  return {
    host: host as HostId,
    region,
    availabilityZone: `${region}-a` as AvailabilityZone,
    peerAddress: "",
    httpAddress: "",
    replica: host.startsWith("k"),
  };
}

function makeStream(id: string, lifetime = 5_000): BegunStream {
  return {
    request: id as RequestId,
    origin: {
      service: "assistant" as ServiceName,
      softwareVersion: "v1" as SoftwareVersion,
    },
    lifetime,
  };
}

class TestHosts {
  readonly network = new LocalNetwork();
  readonly #stopped = new AbortController();
  readonly #records: HostRecord[] = [];

  constructor() {
    setMaxListeners(0, this.#stopped.signal);
  }

  /** Starts a host, or a new process of it without memory. */
  start(
    host: string,
    versions: readonly string[] = [],
  ): AnswerOriginExchange {
    const known = this.#records.find((record) => record.host === host);
    const record = known ?? makeRecord(host, this.#records.length);
    if (known === undefined) this.#records.push(record);
    return new AnswerOriginExchange({
      host: record.host,
      region: record.region,
      transport: this.network.addHost(record.host),
      membership: { listLiveHosts: () => this.#records },
      seeds: [],
      softwareVersionsOf: () => new Set(versions as SoftwareVersion[]),
      signal: this.#stopped.signal,
    });
  }

  stop(): void {
    this.#stopped.abort();
  }
}

let hosts = new TestHosts();

beforeEach(() => {
  hosts = new TestHosts();
  for (const keeper of keepers) hosts.start(keeper);
});

afterEach(() => hosts.stop());

/** Lets messages that are on their way arrive. */
async function settle(): Promise<void> {
  await delay(20);
}

test("another host finds a stream after the loss of all that relay requests", async () => {
  const entryHosts = ["e1", "e2", "e3"].map((host) => hosts.start(host));
  for (const [index, host] of entryHosts.entries()) {
    host.record(makeStream(`stream-${index}`));
  }
  await settle();
  for (const host of ["e1", "e2", "e3"]) {
    const restarted = hosts.start(host);
    for (const index of entryHosts.keys()) {
      const id = `stream-${index}` as RequestId;
      expect(await restarted.find(id)).toEqual(makeStream("").origin);
    }
  }
});

test("a stream is found while any two keepers are cut off", async () => {
  const entry = hosts.start("e1");
  const other = hosts.start("e2");
  entry.record(makeStream("stream"));
  await settle();
  for (const first of keepers) {
    for (const second of keepers) {
      hosts.network.partition("e2" as HostId, first as HostId);
      hosts.network.partition("e2" as HostId, second as HostId);
      expect(await other.find("stream" as RequestId)).toBeDefined();
      hosts.network.heal();
    }
  }
});

test("hosts that did not get a stream are told with the next one", async () => {
  const entry = hosts.start("e1");
  for (const keeper of keepers) {
    hosts.network.partition("e1" as HostId, keeper as HostId);
  }
  entry.record(makeStream("first"));
  await settle();
  hosts.network.heal();
  entry.record(makeStream("second"));
  await settle();
  const restarted = hosts.start("e1");
  expect(await restarted.find("first" as RequestId)).toBeDefined();
});

test("a stream is forgotten at the end of its lifetime", async () => {
  const entry = hosts.start("e1");
  const other = hosts.start("e2");
  entry.record(makeStream("short", 40));
  await settle();
  expect(await other.find("short" as RequestId)).toBeDefined();
  await delay(60);
  expect(await other.find("short" as RequestId)).toBeUndefined();
  expect(await entry.find("short" as RequestId)).toBeUndefined();
});

// Guards against a host that was out of step while servers of a new version joined,
// and goes on with their streams at servers of the only version that it knows.
describe("Software versions of a service", () => {
  const service = "assistant" as ServiceName;
  let entry: AnswerOriginExchange;

  beforeEach(() => {
    for (const keeper of keepers) hosts.start(keeper, ["v1"]);
    hosts.start("k4", ["v1", "v2"]);
    entry = hosts.start("e1", ["v1"]);
  });

  function cutOff(...cut: string[]): void {
    for (const host of cut) {
      hosts.network.partition("e1" as HostId, host as HostId);
    }
  }

  test("include those that only other hosts know", async () => {
    cutOff("k1", "k2");
    expect(await entry.findVersions(service)).toEqual(new Set(["v1", "v2"]));
  });

  test("are unknown to a host that reaches few others", async () => {
    cutOff("k1", "k2", "k4");
    expect(await entry.findVersions(service)).toBeUndefined();
  });
});
