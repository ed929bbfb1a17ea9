/**
 * Composition of one host from the other packages.
 *
 * @module
 */

export type { RunHostOptions } from "./run_host.ts";
export { runHost } from "./run_host.ts";
export type { HostOptions } from "./host.ts";
export { Host } from "./host.ts";
