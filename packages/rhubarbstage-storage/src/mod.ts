/**
 * Durable log, snapshots and host identity under the data folder.
 *
 * @module
 */

export {};
