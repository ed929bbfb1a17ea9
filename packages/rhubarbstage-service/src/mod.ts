/**
 * Calls to plain services with at-most-once effects.
 *
 * @module
 */

export {};
