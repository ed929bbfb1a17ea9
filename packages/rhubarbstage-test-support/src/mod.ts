/**
 * Fake engine, fake service, fault proxy and process driver for tests.
 *
 * @module
 */

export {};
