/**
 * Runs a fake engine as a process. The first argument holds its options as
 * JSON. When the engine listens, it prints one line with its origin and
 * incarnation as JSON.
 *
 * @module
 */

import process from "node:process";
import { FakeEngine } from "./fake_engine.ts";

const crashExitCode = 86;

async function main(): Promise<void> {
  const options = JSON.parse(process.argv[2] ?? "{}");
  const engine = new FakeEngine(options, () => process.exit(crashExitCode));
  const url = await engine.listen();
  const { incarnation } = engine;
  process.stdout.write(`${JSON.stringify({ url, incarnation })}\n`);
  process.once("SIGTERM", () => process.exit(0));
  // The parent that forked this process is gone.
  process.once("disconnect", () => process.exit(0));
}

void main();
