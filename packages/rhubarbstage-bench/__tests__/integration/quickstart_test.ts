import { spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import process from "node:process";

const root = join(__dirname, "../../../..");

/** Returns whether a process group still has a process. */
function isGroupAlive(group: number): boolean {
  try {
    process.kill(-group, 0);
    return true;
  } catch {
    return false;
  }
}

describe("the quickstart", () => {
  // Guards against a quickstart that fails, and against processes that outlive
  // it and have to be ended by hand.
  test("succeeds and leaves no process running", async () => {
    const child = spawn(process.execPath, ["dist/quickstart.cjs"], {
      cwd: root,
      detached: true,
      stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => output += chunk);
    const [code] = await once(child, "close");
    expect({ code, output }).toMatchObject({ code: 0 });
    expect(output).toContain("charge: sent twice through two hosts, ran once");
    expect(output).toMatch(/edit: revision \d+ in force on all hosts/);
    expect(isGroupAlive(child.pid as number)).toBe(false);
  });
});
