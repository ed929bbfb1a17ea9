/**
 * Load generator and experiments.
 *
 * @module
 */

export {};
