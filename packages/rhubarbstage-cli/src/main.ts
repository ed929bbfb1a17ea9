/**
 * Entry point of the rhubarbstage command.
 *
 * @module
 */

import process from "node:process";
import { runCommand } from "./program.ts";

const { stdout, stderr, env } = process;

// A closed pipe, for example of head, must not end a command or a host.
for (const stream of [stdout, stderr]) stream.on("error", () => {});

runCommand(process.argv.slice(2), { stdout, stderr, env }).then((code) => {
  process.exitCode = code;
});
