/**
 * Composition of hosts that relay by a table of routes, without the interface
 * for generations and its libraries.
 *
 * @module
 */

export type { RelayHostSettings } from "./relay_host_settings.ts";
export type { RelayHostOptions } from "./relay_parts.ts";
export { RelayHost } from "./relay_host.ts";
export { ControlApi } from "./control_desk.ts";
