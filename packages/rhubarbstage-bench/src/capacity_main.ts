/**
 * Measures the cost of membership and of replicated and cached state at growing
 * sizes and prints the figures of docs/CAPACITY.md. Run it with
 * `npm run bench:capacity`, and with `-- --full` for the sizes that take minutes.
 *
 * @module
 */

import process from "node:process";
import { figureTableHead, formatFigure } from "./capacity_figure.ts";
import { measureGossip } from "./capacity_gossip.ts";
import { measureState } from "./capacity_state.ts";

function main(): void {
  const full = process.argv.includes("--full");
  for (const line of figureTableHead) console.log(line);
  for (const measure of [measureGossip, measureState]) {
    for (const figure of measure({ full })) console.log(formatFigure(figure));
  }
}

main();
