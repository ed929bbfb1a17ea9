import { type ChildProcess, execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";

const run = promisify(execFile);
const root = join(__dirname, "../../../..");
const binary = join(root, "dist/rhubarbstage");

beforeAll(async () => {
  const script = join(root, "scripts/build_binary.mjs");
  await run(process.execPath, [script, "--bundled"]);
}, 60_000);

describe("the binary", () => {
  // Guards against a bundle that lacks a module or does not start on its own.
  test("prints its version", async () => {
    const { stdout, stderr } = await run(binary, ["version"], { env: {} });
    expect(stderr).toBe("");
    expect(stdout).toMatch(/^rhubarbstage \d+\.\d+\.\d+\n$/);
  });

  // Guards against examples that the shipped binary rejects.
  test.each(["padana", "pinakas"])("accepts the example %s", async (name) => {
    const folder = join(root, "examples", name);
    const hosts = await readdir(join(folder, "hosts"));
    const settings = hosts.flatMap((
      host,
    ) => ["--settings", join(folder, "hosts", host)]);
    const tree = ["--tree", join(folder, "tree.yaml")];
    const { stdout } = await run(
      binary,
      ["check", "--json", ...settings, ...tree],
    );
    const { files } = JSON.parse(stdout);
    expect(files.length).toBe(hosts.length + 1);
    expect(files.flatMap((file: { problems: string[] }) => file.problems))
      .toEqual([]);
  });

  // Guards against failures that a script takes for success.
  test("fails with the documented exit codes", async () => {
    const file = join(root, "package.json");
    await expect(run(binary, ["check", "--tree", file])).rejects
      .toMatchObject({ code: 2 });
    await expect(run(binary, ["unknown"])).rejects.toMatchObject({ code: 1 });
  });

  // Guards against a bundle without a module and exit codes other than 0.
  test("starts a host that answers and exits with 0 on SIGTERM", async () => {
    const folder = await mkdtemp(join(tmpdir(), "rhubarbstage-binary-"));
    await writeFile(join(folder, "token"), "0123456789abcdef\n");
    const settings = join(folder, "host.yaml");
    await writeFile(settings, hostSettings);
    const host = spawn(binary, ["serve", "--settings", settings]);
    const exited = once(host, "exit");
    try {
      const origin = await readOrigin(host);
      const answer = await fetch(`${origin}/healthz`);
      expect(answer.status).toBe(200);
      host.kill("SIGTERM");
      expect(await exited).toEqual([0, null]);
    } finally {
      host.kill("SIGKILL");
      await rm(folder, { recursive: true });
    }
  });
});

const hostSettings = `
host: attica-1
cluster: binary
region: attica
availability_zone: attica-a
http: {listen: "127.0.0.1:0"}
peer: {listen: "127.0.0.1:0"}
data_folder: data
token_files: {peer: token, operators: token, backend_servers: token}
shutdown_notice_ms: 0
journal_groups: 1
`;

/** Reads the origin of the host from its `host_started` log line. */
async function readOrigin(host: ChildProcess): Promise<string> {
  let output = "";
  for await (const chunk of host.stdout ?? []) {
    output += chunk;
    const origin = /event=host_started .*origin=(\S+)/.exec(output)?.[1];
    if (origin !== undefined) return origin;
  }
  throw new Error(`The host exited before it logged host_started:\n${output}`);
}
