/**
 * The rhubarbstage command.
 *
 * @module
 */

export { exitCodes, version } from "./constants.ts";
export type { OperatorClientOptions } from "./operator_client.ts";
export { OperatorClient } from "./operator_client.ts";
export { runCommand } from "./program.ts";
