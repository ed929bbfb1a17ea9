/**
 * Injection tokens of the module; nothing is found by type, because no
 * decorator metadata is emitted.
 *
 * @module
 */

/** Token of the {@linkcode GatewayContext}. */
export const contextToken = Symbol("GatewayContext");
