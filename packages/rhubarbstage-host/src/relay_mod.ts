/**
 * Composition of hosts that relay by a route table, without the generation
 * interface and its libraries.
 *
 * @module
 */

export type { RelayHostSettings } from "./relay_host_settings.ts";
export type { RelayHostOptions } from "./relay_parts.ts";
export { RelayHost } from "./relay_host.ts";
export { ControlApi } from "./control_api.ts";
