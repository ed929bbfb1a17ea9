/**
 * HTTP interface for callers, back ends and operators.
 *
 * @module
 */

export {};
