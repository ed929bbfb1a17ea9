/**
 * Bounds of telemetry.
 *
 * @module
 */

/** Customers with a metric of their own: the ones with most requests. */
export const topCustomerCount = 20;

/** Customers whose requests are counted to find the top ones. */
export const maxCountedCustomers = 20_000;

/** Different values of one label; later ones are counted as `other`. */
export const maxLabelValues = 100;

/** Events of one query unless it names a limit. */
export const defaultEventLimit = 1_000;

/** Default size at which the timeline file is rotated, in bytes. */
export const defaultTimelineBytes = 16 * 1_024 * 1_024;

/** Default number of timeline files, the current one included. */
export const defaultTimelineFiles = 4;

/** Default number of events in memory. */
export const defaultRingCapacity = 10_000;

/**
 * Events that wait for the disk. More are dropped and counted, because a slow
 * disk must not use up the memory of a serving host.
 */
export const maxPendingEvents = 20_000;
