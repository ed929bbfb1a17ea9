/**
 * Runs a fake plain service as a process. The first argument holds its options
 * as JSON. When it listens, it prints one line with its origin and incarnation
 * as JSON.
 *
 * @module
 */

import process from "node:process";
import { FakeService } from "./fake_service.ts";

async function main(): Promise<void> {
  const service = new FakeService(JSON.parse(process.argv[2] ?? "{}"));
  const url = await service.listen();
  const { incarnation } = service;
  process.stdout.write(`${JSON.stringify({ url, incarnation })}\n`);
  process.once("SIGTERM", () => process.exit(0));
}

void main();
