/**
 * Entry of the rhubarbstage command.
 *
 * @module
 */

import process from "node:process";
import { runCommand } from "./program.ts";

const { stdout, stderr, env } = process;

// A reader that goes away, such as head, must not end a command or a host.
for (const stream of [stdout, stderr]) stream.on("error", () => {});

runCommand(process.argv.slice(2), { stdout, stderr, env }).then((code) => {
  process.exitCode = code;
});
