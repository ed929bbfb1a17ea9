import { appendFile, mkdtemp, readdir, rm, stat } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type BackendServerId,
  type HostId,
  HybridLogicalClock,
  type Incarnation,
  ManualClock,
  type RequestId,
  type Revision,
} from "rhubarbstage";
import { mergeTimelines, readTimelineFile, Timeline } from "../../src/mod.ts";

function createTimeline(host: string, wall: number, more = {}) {
  return new Timeline({
    host: host as HostId,
    incarnation: 1 as Incarnation,
    clock: new HybridLogicalClock(new ManualClock(wall)),
    ...more,
  });
}

let folder = "";
beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "rhubarbstage-timeline-"));
});
afterEach(() => rm(folder, { recursive: true }));

describe("Timeline", () => {
  // Guards against an effect that is listed before its cause on a host whose
  // clock is behind, and against events that two sources both have.
  test("merges hosts in causal order, each event once", () => {
    const ahead = createTimeline("a", 5_000);
    const behind = createTimeline("b", 1_000);
    const sent = ahead.record("order_sent", {
      server: "engine-1" as BackendServerId,
    });
    behind.clock.observe(sent.at);
    behind.record("order_taken", { server: "engine-1" as BackendServerId });
    const events = mergeTimelines([
      behind.query(),
      ahead.query(),
      ahead.query(),
    ]);
    expect(events.map(({ event }) => event)).toEqual([
      "order_sent",
      "order_taken",
    ]);
  });

  // Guards against filters that are joined by "or".
  test("filters by request, backend server, revision and time", () => {
    const timeline = createTimeline("a", 1_000);
    const request = "r1" as RequestId;
    const server = "s1" as BackendServerId;
    timeline.record("both", { request, server });
    timeline.record("one", { request });
    timeline.record("edit", { revision: 7 as Revision });
    const names = (filter: Parameters<Timeline["query"]>[0]) =>
      timeline.query(filter).map(({ event }) => event);
    expect(names({ request, server })).toEqual(["both"]);
    expect(names({ request })).toEqual(["both", "one"]);
    expect(names({ revision: 7 as Revision })).toEqual(["edit"]);
    expect(names({ from: 1_001 })).toEqual([]);
    expect(names({ limit: 1 })).toEqual(["edit"]);
  });

  // Guards against memory that grows with the number of events.
  test("keeps the newest events in a ring", () => {
    const timeline = createTimeline("a", 1, { ringEvents: 3 });
    for (let index = 0; index < 8; index += 1) {
      timeline.record("tick", { fields: { index } });
    }
    expect(timeline.query().map(({ fields }) => fields.index)).toEqual([
      5,
      6,
      7,
    ]);
  });

  // Guards against unbounded files and events lost or reordered at a rotation.
  test("rotates its file within its bounds and reads all rotated files", async () => {
    const file = join(folder, "timeline.jsonl");
    const bounds = { file, maxBytes: 4_096, maxFiles: 3 };
    const timeline = createTimeline("a", 1, bounds);
    for (let index = 0; index < 500; index += 1) {
      timeline.record("tick", { fields: { index } });
      if (index % 50 === 0) await timeline.flush();
    }
    await timeline.flush();
    const names = await readdir(folder);
    expect(names.length).toBe(3);
    for (const name of names) {
      // One line may cross the bound.
      expect((await stat(join(folder, name))).size).toBeLessThan(4_096 + 256);
    }
    const events = await readTimelineFile(file);
    const indices = events.map(({ fields }) => fields.index as number);
    expect(indices.at(-1)).toBe(499);
    expect(indices.length).toBeGreaterThan(50);
    expect(indices).toEqual(indices.map((_, at) => (indices[0] ?? 0) + at));
  });

  // Guards against secrets on disk and a killed process's partial line that
  // hides all others.
  test("skips an incomplete line and redacts secrets", async () => {
    const file = join(folder, "timeline.jsonl");
    const timeline = createTimeline("a", 1, { file });
    timeline.record("login", { fields: { api_key: "abc" } });
    await timeline.flush();
    await appendFile(file, '{"at":{"wall":1');
    const events = await readTimelineFile(file);
    expect(events.map(({ fields }) => fields)).toEqual([
      { api_key: "[redacted]" },
    ]);
  });

  // Guards against a full disk that stops the host.
  test("reports errors of the file system and keeps recording", async () => {
    const errors: unknown[] = [];
    const timeline = createTimeline("a", 1, {
      file: join(folder, "missing\0name"),
      onError: (error: unknown) => errors.push(error),
    });
    timeline.record("tick");
    await timeline.flush();
    expect(errors.length).toBe(1);
    expect(timeline.query().length).toBe(1);
  });
});
