/**
 * Composition of one host from the other packages.
 *
 * @module
 */

export {};
