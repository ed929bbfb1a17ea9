/**
 * Measures what control costs at growing sizes and prints the figures of
 * docs/CAPACITY.md. Run it by `npm run bench:capacity`.
 *
 * @module
 */

import { figureTableHead, formatFigure } from "./capacity_figure.ts";
import { measureGossip } from "./capacity_gossip.ts";

function main(): void {
  for (const line of figureTableHead) console.log(line);
  for (const measure of [measureGossip]) {
    for (const figure of measure()) console.log(formatFigure(figure));
  }
}

main();
