/**
 * Entry of the rhubarbstage command.
 *
 * @module
 */

import process from "node:process";
import { runCommand } from "./program.ts";

const { stdout, stderr, env } = process;

runCommand(process.argv.slice(2), { stdout, stderr, env }).then((code) => {
  process.exitCode = code;
});
