import { execFile } from "node:child_process";
import { readdir } from "node:fs/promises";
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
  // Guards against a bundle that lacks a module or does not start alone.
  test("prints its version", async () => {
    const { stdout } = await run(binary, ["version"], { env: {} });
    expect(stdout).toMatch(/^rhubarbstage \d+\.\d+\.\d+\n$/);
  });

  // Guards against examples that the shipped command refuses.
  test.each(["padana", "pinakas"])("checks the example %s", async (name) => {
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

  // Guards against a failure that looks like a success to a script.
  test("fails with the documented codes", async () => {
    const file = join(root, "package.json");
    await expect(run(binary, ["check", "--tree", file])).rejects
      .toMatchObject({ code: 2 });
    await expect(run(binary, ["unknown"])).rejects.toMatchObject({ code: 1 });
  });
});
