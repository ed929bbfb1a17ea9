/**
 * Logs, time line and metrics.
 *
 * @module
 */

export {};
