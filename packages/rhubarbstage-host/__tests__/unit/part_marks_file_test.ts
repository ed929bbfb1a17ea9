import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { PartMark } from "@rhubarbstage/policy";
import { PartMarksFile } from "../../src/part_marks_file.ts";

let dataFolder: string;
let failures: unknown[];

beforeEach(async () => {
  dataFolder = await mkdtemp(join(tmpdir(), "rhubarbstage-marks-"));
  failures = [];
});

afterEach(() => rm(dataFolder, { recursive: true }));

function openFile(): PartMarksFile {
  return new PartMarksFile({
    dataFolder,
    onFailure: (error) => failures.push(error),
  });
}

function markOf(part: string): PartMark {
  const crashes = [{ crash: "server/1", age: 5, cleared: false }];
  return { part, sound: false, crashes };
}

async function readUntil(part: string): Promise<void> {
  for (;;) {
    const [mark] = await openFile().read();
    if (mark?.part === part) return;
  }
}

// Guards against a deadly part that is in use again after all hosts have lost
// power together.
test("the newest evidence about prompt parts outlasts the process", async () => {
  const file = openFile();
  expect(await file.read()).toEqual([]);
  for (const part of ["a", "b", "c"]) file.write([markOf(part)]);
  await readUntil("c");
  expect(await openFile().read()).toEqual([markOf("c")]);
  expect(failures).toEqual([]);
});

test("a damaged file counts as empty and is replaced", async () => {
  await writeFile(join(dataFolder, "part-marks"), "damaged");
  const file = openFile();
  expect(await file.read()).toEqual([]);
  expect(failures).toHaveLength(1);
  file.write([markOf("a")]);
  await readUntil("a");
});
