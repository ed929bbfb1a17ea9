/**
 * Adapter to the wire format of model engines.
 *
 * @module
 */

export {};
