import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { HostId } from "rhubarbstage";
import { lockFile } from "../../src/constants.ts";
import { DataFolder } from "../../src/data_folder.ts";
import { FolderInUseError } from "../../src/errors.ts";

const host = "a" as HostId;

async function openTemporaryFolder() {
  const path = await mkdtemp(join(tmpdir(), "folder-lock-"));
  const folder = await DataFolder.open(path, { host });
  return { path, folder, file: join(path, lockFile) };
}

test("refuses a folder that a running process has locked", async () => {
  const { path, folder } = await openTemporaryFolder();
  await expect(DataFolder.open(path, { host })).rejects.toThrow(
    FolderInUseError,
  );
  await folder.close();
});

test.each([
  ["of an earlier process with the same id", `${process.pid} 1`],
  ["of a process with an unknown start time", "99999999 unknown"],
  ["of a killed process on a system that hides processes", "1 unknown"],
  ["left empty by a crash", ""],
])("a lock %s is taken over", async (_name, owner) => {
  const { path, file } = await openTemporaryFolder();
  await writeFile(file, owner);
  const folder = await DataFolder.open(path, { host });
  expect(await readFile(file, "utf8")).toMatch(`${process.pid} `);
  await folder.close();
});
