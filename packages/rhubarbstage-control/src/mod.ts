/**
 * Control state, claim journal and the replica that drives them.
 *
 * @module
 */

export {};
