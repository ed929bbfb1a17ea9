/**
 * Limits and defaults of telemetry.
 *
 * @module
 */

/** Number of customers with their own metric: those with most requests. */
export const topCustomerCount = 20;

/** Maximum customers whose requests are counted to find the top ones. */
export const maxCountedCustomers = 20_000;

/** Maximum distinct values of one label; later ones are counted as `other`. */
export const maxLabelValues = 100;

/** Maximum events in the result of a query without a limit. */
export const defaultEventLimit = 1_000;

/** Default size at which the timeline file is rotated, in bytes. */
export const defaultTimelineBytes = 16 * 1_024 * 1_024;

/** Default number of timeline files, the current one included. */
export const defaultTimelineFiles = 4;

/** Default number of events in memory. */
export const defaultRingCapacity = 10_000;

/**
 * Maximum events that wait for the disk. More are dropped and counted, because
 * a slow disk must not exhaust the memory of a serving host.
 */
export const maxPendingEvents = 20_000;
