/**
 * The rhubarbstage command.
 *
 * @module
 */

export {};
