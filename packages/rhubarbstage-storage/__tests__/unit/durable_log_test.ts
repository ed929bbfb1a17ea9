import { Buffer } from "node:buffer";
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import {
  CorruptionError,
  DataFolder,
  DurableLog,
  FolderInUseError,
  type LogRecord,
} from "../../src/mod.ts";

const options = {
  group: "control" as GroupName,
  replica: "replica-1" as ReplicaId,
};
const seats = { voters: [], learners: [] };
const vote = "replica-2" as ReplicaId;
let root: string;
let count = 0;

beforeEach(() => {
  root = mkdtempSync(join(tmpdir(), "storage-"));
});

afterEach(() => rmSync(root, { recursive: true }));

function record(index: number, term = 1): LogRecord {
  return { index, term, kind: 1, data: Buffer.from(`data ${index} ${term}`) };
}

function records(from: number, to: number): LogRecord[] {
  return Array.from(
    { length: to - from + 1 },
    (_, step) => record(from + step),
  );
}

/** Opens a log in a new folder with the given files. */
async function openFiles(files: Record<string, Buffer>): Promise<DurableLog> {
  count += 1;
  const folder = join(root, `group-${count}`);
  mkdirSync(folder);
  for (const [name, content] of Object.entries(files)) {
    writeFileSync(join(folder, name), content);
  }
  return await DurableLog.open({ ...options, folder });
}

async function indexes(log: DurableLog): Promise<number[]> {
  const loaded = log.consumeLoadedLog();
  await log.close();
  return loaded.records.map((item) => item.index);
}

describe("DurableLog", () => {
  let folder: string;
  let log: DurableLog;

  beforeEach(async () => {
    folder = join(root, "log");
    log = await DurableLog.open({ ...options, folder });
  });

  afterEach(() => log.close().catch(() => {}));

  function content(): Buffer {
    return readFileSync(join(folder, "log"));
  }

  // Guards against torn tails that prevent restarts, or remove
  // or add entries.
  test("keeps every complete record at any truncation", async () => {
    const ends = [log.bytes];
    for (const item of records(1, 4)) {
      await log.append({ term: 1, vote: undefined }, [item]);
      ends.push(log.bytes);
    }
    const full = content();
    for (let length = ends[0] as number; length <= full.length; length += 1) {
      const torn = await openFiles({ log: full.subarray(0, length) });
      const complete = ends.filter((end) => end <= length).length - 1;
      expect(await indexes(torn)).toEqual(
        records(1, complete).map((item) => item.index),
      );
    }
  });

  // Guards against remains of a torn tail after the next, shorter record.
  test("appends after a torn tail is truncated", async () => {
    const long = { ...record(2), data: Buffer.alloc(500, 7) };
    await log.append({ term: 1, vote: undefined }, [record(1), long]);
    const opened = await openFiles({ log: content().subarray(0, -1) });
    await opened.append({ term: 1, vote: undefined }, [record(2)]);
    await opened.close();
    const written = readFileSync(join(root, `group-${count}`, "log"));
    expect(await indexes(await openFiles({ log: written }))).toEqual([1, 2]);
  });

  // Guards against flipped bits that are treated as a torn tail or as data.
  test("refuses flipped bits at any position", async () => {
    await log.append({ term: 1, vote }, records(1, 4));
    const full = content();
    for (let offset = 0; offset < full.length; offset += 1) {
      for (const mask of [0x01, 0x80, 0xff]) {
        const flipped = Buffer.from(full);
        flipped[offset] = (flipped[offset] as number) ^ mask;
        await expect(openFiles({ log: flipped })).rejects.toThrow(
          CorruptionError,
        );
      }
    }
  });

  // Guards against blocks that a crash left allocated, but not written.
  test("truncates a tail of zeros", async () => {
    await log.append({ term: 1, vote: undefined }, records(1, 2));
    const zeros = Buffer.concat([content(), Buffer.alloc(700)]);
    const opened = await openFiles({ log: zeros });
    expect(await indexes(opened)).toEqual([1, 2]);
  });

  // Guards against restoring an old vote, a replaced suffix or a
  // compacted prefix.
  test("restores term, vote, replaced entries and snapshot", async () => {
    await log.append({ term: 1, vote }, records(1, 6));
    await log.append({ term: 2, vote: undefined }, [record(5, 2)]);
    const data = Buffer.from("state");
    await log.saveSnapshot({ index: 4, term: 1, seats, data }, {
      compactTo: 3,
    });
    await log.append({ term: 2, vote: undefined }, [record(6, 2)]);
    await log.close();
    log = await DurableLog.open({ ...options, folder });
    const loaded = log.consumeLoadedLog();
    expect(loaded.hardState).toEqual({ term: 2, vote: undefined });
    expect(loaded.base).toEqual({ index: 3, term: 1 });
    expect(loaded.records.map(({ index, term }) => [index, term])).toEqual([
      [4, 1],
      [5, 2],
      [6, 2],
    ]);
    expect(Buffer.from(loaded.snapshot?.data ?? [])).toEqual(data);
  });

  // Guards against wrong state after a crash between installing a snapshot and
  // replacing the log, and after one that leaves a partly written snapshot.
  test("drops a log that does not continue an installed snapshot", async () => {
    await log.append({ term: 3, vote }, records(1, 6));
    const old = content();
    const data = Buffer.from("state");
    await log.installSnapshot({ index: 4, term: 2, seats, data });
    const snapshot = readFileSync(join(folder, "snapshot"));
    const partialSnapshot = snapshot.subarray(0, 20);
    const crashed = await openFiles({ log: old, snapshot });
    const loaded = crashed.consumeLoadedLog();
    expect(loaded.records).toEqual([]);
    expect(loaded.base).toEqual({ index: 4, term: 2 });
    expect(loaded.hardState).toEqual({ term: 3, vote });
    await crashed.close();
    const beforeRename = await openFiles({
      log: old,
      "snapshot.tmp": partialSnapshot,
    });
    expect(await indexes(beforeRename)).toEqual([1, 2, 3, 4, 5, 6]);
    await expect(openFiles({ log: old, snapshot: partialSnapshot })).rejects
      .toThrow(
        CorruptionError,
      );
    await expect(openFiles({ snapshot })).rejects.toThrow(CorruptionError);
  });

  // Guards against one sync for each of many concurrent appends.
  test("shares syncs between queued appends", async () => {
    const appends = records(1, 500).map((item) =>
      log.append({ term: 1, vote: undefined }, [item])
    );
    await Promise.all(appends);
    expect(log.syncCount).toBeLessThan(20);
  });
});

describe("DataFolder", () => {
  const host = "first" as HostId;

  // Guards against a replica that reuses its identity without its old state,
  // and against two processes on one folder.
  test("keeps the identity, locks the folder, and refuses logs without an identity", async () => {
    const path = join(root, "data");
    const folder = await DataFolder.open(path, { host });
    const { replica } = folder.identity;
    await expect(DataFolder.open(path, { host })).rejects.toThrow(
      FolderInUseError,
    );
    const grant = { bootstrap: "b", hosts: [host] };
    await folder.changeIdentity({ grant });
    await folder.openLog("control" as GroupName);
    await folder.close();
    const again = await DataFolder.open(path, { host });
    expect(again.identity).toMatchObject({ replica, grant });
    await again.close();
    rmSync(join(path, "identity"));
    await expect(DataFolder.open(path, { host })).rejects.toThrow(
      CorruptionError,
    );
    rmSync(path, { recursive: true });
    const fresh = await DataFolder.open(path, { host });
    expect(fresh.identity.replica).not.toBe(replica);
    await fresh.close();
  });
});
