/**
 * Ports for processes that tests start.
 *
 * @module
 */

import { createServer } from "node:net";
import process from "node:process";

/**
 * First port that is handed out. All ports stay below 32,768, from where
 * systems take the ports of outgoing connections: a port from there was taken
 * by such a connection between the check and the start of the process.
 */
const firstPort = 15_000;
/** Ports of each test worker, so that workers do not take the same one. */
const portsPerWorker = 1_700;
const workerCount = 10;

let next = Math.floor(Math.random() * portsPerWorker);

function takePort(): number {
  const worker = Number(process.env.JEST_WORKER_ID ?? 0) % workerCount;
  next = (next + 1) % portsPerWorker;
  return firstPort + worker * portsPerWorker + next;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}

/** Ports of loopback that are free at the time of the call. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  for (let tries = 0; ports.length < count; tries += 1) {
    if (tries > portsPerWorker) throw new Error("There are no free ports");
    const port = takePort();
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}
