import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { buildSync } from "esbuild";

const folder = mkdtempSync(join(tmpdir(), "stopped-reader-"));

/** Logs continuously and records how often its timer has run. */
const program = `
import { renameSync, writeFileSync } from "node:fs";
import { createLogger } from ${
  JSON.stringify(join(__dirname, "../../src/mod.ts"))
};
const logger = createLogger({});
let turns = 0;
setInterval(() => {
  for (let line = 0; line < 400; line += 1) {
    logger.info("noise", { text: "x".repeat(4000) });
  }
  turns += 1;
  const pending = process.stdout.writableLength;
  // The rename keeps the result complete if the process is killed meanwhile.
  const result = process.argv[2];
  writeFileSync(result + ".new", JSON.stringify({ turns, pending }));
  renameSync(result + ".new", result);
}, 20);
`;

test("output that is never read neither blocks the process nor makes its memory grow", async () => {
  const source = join(folder, "program.ts");
  const bundle = join(folder, "program.cjs");
  const result = join(folder, "result.json");
  writeFileSync(source, program);
  buildSync({
    entryPoints: [source],
    outfile: bundle,
    bundle: true,
    platform: "node",
    format: "cjs",
    nodePaths: [join(__dirname, "../../../../node_modules")],
  });
  // The child's standard output is never read.
  const child = spawn(process.execPath, [bundle, result], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  await new Promise((resolve) => setTimeout(resolve, 3_000));
  child.kill("SIGKILL");
  const { turns, pending } = JSON.parse(readFileSync(result, "utf8"));
  expect(turns).toBeGreaterThan(20);
  expect(pending).toBeLessThan(2_000_000);
});
