/**
 * Replicated log as a pure reducer with effects as data.
 *
 * @module
 */

export {};
