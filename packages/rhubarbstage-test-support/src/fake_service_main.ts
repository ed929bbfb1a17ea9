/**
 * Program of a fake plain service. The first argument is its options as JSON.
 * Once it listens, it prints its origin and incarnation as one line of JSON.
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
