import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { delay } from "rhubarbstage";
import { exitCodes, runCommand } from "../../src/mod.ts";

const program = join(__dirname, "../../../../dist/rhubarbstage.cjs");

const hostSettings = `
host: attica-1
cluster: command
region: attica
availability_zone: attica-a
http: {listen: "127.0.0.1:0"}
peer: {listen: "127.0.0.1:0"}
data_folder: data
token_files: {peer: token, operators: token, backend_servers: token}
shutdown_notice_ms: 0
journal_groups: 1
`;

let folder = "";
let host: ChildProcess;
let hostOptions: string[] = [];

async function readOrigin(): Promise<string> {
  let output = "";
  for await (const chunk of host.stdout ?? []) {
    output += chunk;
    const origin = /event=host_started .*origin=(\S+)/.exec(output)?.[1];
    if (origin !== undefined) return origin;
  }
  throw new Error(`The host exited before it logged host_started:\n${output}`);
}

async function run(...args: readonly string[]) {
  let stdout = "";
  let stderr = "";
  const code = await runCommand([...args, ...hostOptions], {
    stdout: { write: (text) => stdout += text },
    stderr: { write: (text) => stderr += text },
    env: { RHUBARBSTAGE_STATE_FOLDER: join(folder, "state") },
  });
  return { code, stdout, stderr };
}

async function runJson(...args: readonly string[]) {
  const { code, stdout, stderr } = await run(...args, "--json");
  expect({ code, stderr }).toMatchObject({ code: exitCodes.ok });
  return JSON.parse(stdout);
}

/** Polls until a revision is in force; hosts confirm it once a second. */
async function waitForRevision(revision: number): Promise<void> {
  for (let round = 0; round < 100; round += 1) {
    if ((await runJson("status")).revision >= revision) return;
    await delay(50);
  }
  throw new Error(`Revision ${revision} is not in force after 100 polls`);
}

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), "rhubarbstage-command-"));
  await writeFile(join(folder, "token"), "anna:0123456789abcdef\n");
  await writeFile(join(folder, "host.yaml"), hostSettings);
  await writeFile(join(folder, "tree.yaml"), "priority: 1\n");
  const settings = join(folder, "host.yaml");
  host = spawn(process.execPath, [program, "serve", "--settings", settings]);
  const origin = await readOrigin();
  hostOptions = ["--url", origin, "--token-file", join(folder, "token")];
  const tree = join(folder, "tree.yaml");
  await runJson("bootstrap", "--hosts", "attica-1", "--tree", tree);
});

afterAll(async () => {
  const exited = once(host, "exit");
  host.kill("SIGKILL");
  await exited;
  await rm(folder, { recursive: true });
});

describe("the command and a host", () => {
  // Guards against answers that the two interpret differently.
  test("agree on status, tree, history and backends", async () => {
    const status = await runJson("status");
    expect(status).toMatchObject({ host: "attica-1", bootstrapped: true });
    expect(status.groups.map((group: { group: string }) => group.group))
      .toEqual(["control", "journal-0"]);
    const tree = await runJson("tree", "get");
    expect(tree.value).toEqual({ priority: 1 });
    const [entry] = (await runJson("tree", "history")).entries;
    expect(entry).toMatchObject({ operator: "anna", revision: tree.revision });
    expect(await runJson("backends")).toEqual({ backends: [] });
    await waitForRevision(tree.revision);
    expect((await run("status")).stdout).toMatch(
      /^attica-1 \(command, version .*: not ready \(empty_tree\), revision 2 /,
    );
  });

  // Guards against two operators whose conflicting edits are both accepted.
  test("accept exactly one of two concurrent edits", async () => {
    const { revision } = await runJson("tree", "get");
    const results = await Promise.all(
      [10, 20].map((priority) =>
        run(
          "tree",
          "apply",
          "--set",
          `priority=${priority}`,
          "--expected-revision",
          String(revision),
        )
      ),
    );
    expect(results.map(({ code }) => code).sort()).toEqual([
      exitCodes.ok,
      exitCodes.conflict,
    ]);
    const after = await runJson("tree", "get");
    expect(after.revision).toBe(revision + 1);
  });

  // Guards against a resent edit that overwrites later edits.
  test("return the first answer to a resent edit", async () => {
    const apply = ["tree", "apply", "--set", "share=3", "--edit-id", "resent"];
    const before = await runJson("tree", "get");
    const pinned = ["--expected-revision", String(before.revision)];
    const first = await runJson(...apply, ...pinned);
    await runJson("tree", "apply", "--set", "share=4");
    const again = await runJson(...apply, ...pinned);
    expect(again.revision).toBe(first.revision);
    const after = await runJson("tree", "get");
    expect(after.value.share).toBe(4);
  });

  // Guards against rejections without a reason.
  test("report the reason for an invalid edit and an unknown token", async () => {
    const wrong = await run("tree", "apply", "--set", "sharre=3");
    expect(wrong.code).toBe(exitCodes.invalid);
    expect(wrong.stderr).toContain('did you mean "share"?');
    const other = join(folder, "other");
    await writeFile(other, "fedcba9876543210\n");
    const [, url = ""] = hostOptions;
    const denied = await runCommand(
      ["status", "--url", url, "--token-file", other],
      {
        stdout: { write: () => {} },
        stderr: { write: () => {} },
        env: {},
      },
    );
    expect(denied).toBe(exitCodes.unauthenticated);
  });

  // Guards against drains and events that the operator cannot see.
  test("drain, undrain and show the timeline", async () => {
    expect(await runJson("drain", "engine-1")).toMatchObject({
      server: "engine-1",
      drained: true,
    });
    expect(await runJson("undrain", "engine-1")).toMatchObject({
      drained: false,
    });
    const timeline = await runJson("timeline");
    expect(timeline.events[0]).toMatchObject({
      host: "attica-1",
      event: "host_started",
    });
    const repair = await run("repair", "--lost", "crete-9");
    expect(repair.code).toBe(exitCodes.usage);
  });
});
