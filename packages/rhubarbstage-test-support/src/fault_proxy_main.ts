/**
 * Program of a fault proxy. The first argument is its options as JSON. Once it
 * listens, it prints the origin of its control interface and the port of each
 * link as one line of JSON.
 *
 * @module
 */

import process from "node:process";
import { FaultProxy } from "./fault_proxy.ts";

async function main(): Promise<void> {
  const options = {
    seed: 1,
    links: [],
    ...JSON.parse(process.argv[2] ?? "{}"),
  };
  const proxy = new FaultProxy(options);
  const ports = Object.fromEntries(await proxy.listen());
  const url = await proxy.control();
  process.stdout.write(`${JSON.stringify({ url, ports })}\n`);
  process.once("SIGTERM", () => process.exit(0));
}

void main();
