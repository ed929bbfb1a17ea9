/** Disks that refuse writes for a while, as full ones do, and then accept them. */

import { Buffer } from "node:buffer";
import { mkdtempSync, rmSync } from "node:fs";
import { type FileHandle, open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { GroupName, HostId, ReplicaId } from "rhubarbstage";
import { DataFolder, DurableLog, type LogRecord } from "../../src/mod.ts";

const options = {
  group: "control" as GroupName,
  replica: "replica-1" as ReplicaId,
};
const hardState = { term: 1, vote: undefined };
const seats = { voters: [], learners: [] };
/** Longer than the first pauses between repetitions, in milliseconds. */
const refusalTime = 200;

let folder: string;
let handles: FileHandle;
const changes: string[] = [];
const disk = {
  onRefused: () => changes.push("refused"),
  onAccepted: () => changes.push("accepted"),
};

beforeEach(async () => {
  folder = mkdtempSync(join(tmpdir(), "refusal-"));
  changes.length = 0;
  const handle = await open(folder, "r");
  handles = Object.getPrototypeOf(handle);
  await handle.close();
});

afterEach(() => {
  jest.restoreAllMocks();
  rmSync(folder, { recursive: true });
});

/** Lets the disk refuse a kind of call for a while. */
function refuse(method: "write" | "writeFile" | "datasync" | "sync"): void {
  const error = Object.assign(new Error("no space left"), { code: "ENOSPC" });
  const mock = jest.spyOn(handles, method).mockRejectedValue(error);
  setTimeout(() => mock.mockRestore(), refusalTime);
}

function record(index: number): LogRecord {
  return { index, term: 1, kind: 1, data: Buffer.from(`data ${index}`) };
}

async function reopen(): Promise<number[]> {
  const log = await DurableLog.open({
    ...options,
    folder: join(folder, "log"),
  });
  const { records } = log.consumeLoadedLog();
  await log.close();
  return records.map(({ index }) => index);
}

// Guards against a replica that never writes again after its disk was full for
// seconds (review/3).
test.each(["write", "datasync"] as const)(
  "appends wait while the disk refuses a %s",
  async (method) => {
    const log = await DurableLog.open({
      ...options,
      disk,
      folder: join(folder, "log"),
    });
    await log.append(hardState, [record(1)]);
    refuse(method);
    await Promise.all([
      log.append(hardState, [record(2)]),
      log.append(hardState, [record(3)]),
    ]);
    await log.append(hardState, [record(4)]);
    await log.close();
    expect(changes).toEqual(["refused", "accepted"]);
    expect(await reopen()).toEqual([1, 2, 3, 4]);
  },
);

test.each(["writeFile", "sync"] as const)(
  "a snapshot waits while the disk refuses a %s",
  async (method) => {
    const log = await DurableLog.open({
      ...options,
      disk,
      folder: join(folder, "log"),
    });
    await log.append(hardState, [record(1), record(2), record(3)]);
    refuse(method);
    const snapshot = { index: 2, term: 1, seats, data: Buffer.from("state") };
    await log.saveSnapshot(snapshot, { compactTo: 2 });
    await log.append(hardState, [record(4)]);
    expect(await log.readSnapshot()).toMatchObject({ index: 2 });
    await log.close();
    expect(changes).toEqual(["refused", "accepted"]);
    expect(await reopen()).toEqual([3, 4]);
  },
);

test("a log on a refusing disk can be closed", async () => {
  const log = await DurableLog.open({
    ...options,
    folder: join(folder, "log"),
  });
  refuse("write");
  const appended = log.append(hardState, [record(1)]);
  appended.catch(() => {});
  await log.close();
  await expect(appended).rejects.toThrow("no space left");
});

// Guards against a process that ends at its start while its disk is full.
test("a folder is opened once the disk accepts writes", async () => {
  refuse("writeFile");
  const host = "host-1" as HostId;
  const opened = await DataFolder.open(join(folder, "data"), { host, disk });
  expect(opened.identity.host).toBe(host);
  expect(changes).toEqual(["refused", "accepted"]);
  await opened.close();
});
