/**
 * Membership of hosts and back ends.
 *
 * @module
 */

export {};
