import { Buffer } from "node:buffer";
import { readFileSync } from "node:fs";
import { cp, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { delay, type GroupName, type HostId } from "rhubarbstage";
import {
  type ClaimKeyFields,
  claimKeyOf,
  controlQueries,
  ControlStateMachine,
  journalQueries,
  JournalStateMachine,
} from "@rhubarbstage/control";
import { type AnyGroupDefinition, Replica } from "@rhubarbstage/replica";
import { LocalNetwork } from "@rhubarbstage/transport";

const host = "host-0" as HostId;
const control = "control" as GroupName;
const journal = "journal-0" as GroupName;
const fixture = join(__dirname, "stored_data");
/** Each kind of record is once in a snapshot and once in the log behind it. */
const sources = ["snapshot", "log"];

const groups = new Map<GroupName, AnyGroupDefinition>([
  [control, {
    stateMachine: new ControlStateMachine(),
    queries: controlQueries,
  }],
  [journal, {
    stateMachine: new JournalStateMachine(),
    queries: journalQueries,
  }],
]);

// Untyped, so that a rename of a field does not change what is expected.
const stored = JSON.parse(
  readFileSync(join(fixture, "expected.json"), "utf8"),
  (_key, value) => Array.isArray(value?.map) ? new Map(value.map) : value,
);

/** Converts maps and bytes to plain data, which also compares their order. */
function toPlain(value: unknown): unknown {
  if (value instanceof Map) return { map: [...value].map(toPlain) };
  if (value instanceof Uint8Array) {
    return { hex: Buffer.from(value).toString("hex") };
  }
  if (Array.isArray(value)) return value.map(toPlain);
  if (typeof value !== "object" || value === null) return value;
  const fields = Object.entries(value);
  return Object.fromEntries(fields.map(([key, of]) => [key, toPlain(of)]));
}

// Guards against hosts of this build misreading the files of an earlier one: a
// renamed field of a stored type no longer matches its name in the files. The
// fixture was written by the build of commit cca7c63; a newer build must not
// replace it.
describe("data stored by an earlier build", () => {
  let folder: string;
  let replica: Replica;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), "rhubarbstage-stored-"));
    await cp(join(fixture, "data_folder"), folder, { recursive: true });
    replica = await Replica.open({
      dataFolder: folder,
      transport: new LocalNetwork().addHost(host),
      groups,
      tickInterval: 10,
      seed: 1,
    });
    const deadline = performance.now() + 10_000;
    while (![control, journal].every((g) => replica.leadership(g).isLeader)) {
      if (performance.now() > deadline) throw new Error("No leader is elected");
      await delay(10);
    }
  });

  afterEach(async () => {
    await replica?.close();
    await rm(folder, { recursive: true, force: true });
  });

  // Also untyped: commands are stored under the names of their fields.
  const group = (name: GroupName) =>
    replica.group<unknown, unknown, unknown>(name);

  test("restores states, identity, seats and terms", async () => {
    expect(toPlain(group(control).state)).toEqual(toPlain(stored.control));
    expect(toPlain(group(journal).state)).toEqual(toPlain(stored.journal));
    expect(replica.id).toBe(stored.replica);
    for (const { term, appliedIndex, ...others } of stored.groups) {
      // The election raises the term; the new leader appends an empty entry.
      const after = { term: term + 1, appliedIndex: appliedIndex + 1 };
      expect(replica.groupStatus(others.group))
        .toMatchObject({ ...others, ...after });
    }
    const other = replica.bootstrap({ hosts: [host, "host-1" as HostId] });
    await expect(other).rejects.toMatchObject({ kind: "forbidden" });
  });

  test.each(sources)("repeats answers to edits in the %s", async (source) => {
    const propose = async (edit: unknown) =>
      await group(control).propose({ type: "edit", edit, at: 0 });
    const accepted = (revision: number) => ({
      type: "edit",
      result: { type: "accepted", revision },
    });
    const editId = `edit-${source}-accepted`;
    const { revision } = stored.control.edits.get(editId).result;
    const operations = [
      { path: ["priority"], set: 2 },
      { path: ["regions", source], set: { deadline_ms: 1500 } },
    ];
    const edit = { editId, expectedRevision: revision - 1, operations };
    expect(await propose(edit)).toEqual(accepted(revision));
    expect(await propose({ ...edit, operations: [] }))
      .toEqual({ type: "edit", result: { type: "edit_id_reused" } });
    const latest = stored.control.revision;
    const next = { editId: "new", expectedRevision: latest, operations };
    expect(await propose(next)).toEqual(accepted(latest + 1));
  });

  test.each(sources)("repeats answers to claims in the %s", async (source) => {
    const fields = { customer: `customer-${source}`, service: "service" };
    const subject = { ...fields, idempotencyKey: "settled" };
    const key = claimKeyOf(subject as ClaimKeyFields);
    const { answer } = stored.journal.claims.get(key);
    const propose = async (bodyHash: string) => {
      const claimer = { host, incarnation: 4 };
      const attempt = { attempt: "new", bodyHash, claimer, now: 0 };
      const command = { type: "claim", key, ...attempt };
      return toPlain(await group(journal).propose(command));
    };
    const bodyHash = `body-${source}-settled`;
    const claim = { type: "settled", answer, bodyHash };
    expect(await propose(bodyHash)).toEqual({ type: "held", claim });
    expect(await propose("other")).toEqual({ type: "reused" });
  });

  test.each(sources)("keeps orders in the %s open", async (source) => {
    const open = stored.control.orders.get(`order-${source}-open`);
    expect(await group(control).query("open_orders", {})).toContainEqual(open);
    const order = { ...open, orderId: "new", argument: "decode" };
    const command = { ...open, type: "intend", order };
    expect(await group(control).propose(command))
      .toEqual({ type: "intend", result: { type: "conflict", open } });
  });
});
