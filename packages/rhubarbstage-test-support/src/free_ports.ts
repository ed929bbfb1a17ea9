/**
 * Allocation of ports for processes that tests start.
 *
 * @module
 */

import { createServer } from "node:net";
import process from "node:process";

/**
 * First port of the range, which ends below 32,768, where ephemeral ports
 * start: an outgoing connection could take such a port between the check and
 * the start of the process.
 */
const firstPort = 15_000;
/** Ports per test worker; separate ranges keep workers from colliding. */
const portsPerWorker = 1_700;
const workerCount = 10;

let nextOffset = Math.floor(Math.random() * portsPerWorker);

function nextPort(): number {
  const worker = Number(process.env.JEST_WORKER_ID ?? 0) % workerCount;
  nextOffset = (nextOffset + 1) % portsPerWorker;
  return firstPort + worker * portsPerWorker + nextOffset;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Returns loopback ports that are free at the time of the call. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > portsPerWorker) {
      throw new Error(
        `Found ${ports.length} of ${count} free ports in ${tries} tries of the ${portsPerWorker} ports of this worker`,
      );
    }
    const port = nextPort();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
