/**
 * Process settings and the tree of settings.
 *
 * @module
 */

export {};
