/**
 * Authenticated message links between hosts.
 *
 * @module
 */

export {};
