/**
 * Program of a fake engine. The first argument is its options as JSON. Once the
 * engine listens, it prints its origin and incarnation as one line of JSON.
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
  // Exit with the parent process that forked this one.
  process.once("disconnect", () => process.exit(0));
}

void main();
