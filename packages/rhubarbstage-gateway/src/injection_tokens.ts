/**
 * Injection tokens of the module. Injection by type does not work, because no
 * decorator metadata is emitted.
 *
 * @module
 */

/** Injection token of the {@linkcode GatewayContext}. */
export const contextToken = Symbol("GatewayContext");
