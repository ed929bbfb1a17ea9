/**
 * Summary and text table of the experiments.
 *
 * @module
 */

import type { Figure } from "./experiments.ts";

/** Summary of one figure over all seeds. */
export interface FigureSummary {
  readonly experiment: string;
  readonly name: string;
  readonly values: readonly number[];
  readonly median: number;
  readonly least: number;
  readonly most: number;
  readonly atLeast?: number;
  readonly atMost?: number;
  /** Whether the median is within the bound; absent without a bound. */
  readonly reached?: boolean;
}

/** Aggregates the figures of all seeds of one experiment by name. */
export function summarise(
  experiment: string,
  runs: readonly (readonly Figure[])[],
): FigureSummary[] {
  const byName = new Map<string, Figure[]>();
  for (const figure of runs.flat()) {
    const figures = byName.get(figure.name) ?? [];
    figures.push(figure);
    byName.set(figure.name, figures);
  }
  return [...byName].map(([name, figures]) => {
    const values = figures.map((figure) => figure.value);
    const sorted = [...values].sort((left, right) => left - right);
    const median = medianOf(sorted);
    const { atLeast, atMost } = figures[0] as Figure;
    const bounds = {
      ...(atLeast === undefined ? {} : { atLeast }),
      ...(atMost === undefined ? {} : { atMost }),
    };
    const bounded = atLeast !== undefined || atMost !== undefined;
    const reached = median >= (atLeast ?? -Infinity) &&
      median <= (atMost ?? Infinity);
    return {
      experiment,
      name,
      values,
      median,
      least: sorted[0] as number,
      most: sorted.at(-1) as number,
      ...bounds,
      ...(bounded ? { reached } : {}),
    };
  });
}

function medianOf(sorted: readonly number[]): number {
  const upper = sorted[Math.floor(sorted.length / 2)] as number;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] as number;
  return lower === upper ? lower : (lower + upper) / 2;
}

/** Formats summaries as a text table. */
export function formatTable(summaries: readonly FigureSummary[]): string {
  const header = ["experiment", "figure", "median", "spread", "target", ""];
  const rows = summaries.map((summary) => [
    summary.experiment,
    summary.name,
    formatNumber(summary.median),
    `${formatNumber(summary.least)} to ${formatNumber(summary.most)}`,
    formatBound(summary),
    summary.reached === undefined ? "" : summary.reached ? "reached" : "missed",
  ]);
  const table = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...table.map((row) => (row[column] as string).length))
  );
  return table
    .map((row) =>
      row.map((cell, column) => cell.padEnd(widths[column] as number))
        .join("  ").trimEnd()
    )
    .join("\n");
}

function formatBound({ atLeast, atMost }: FigureSummary): string {
  if (atLeast !== undefined) return `>= ${atLeast}`;
  return atMost === undefined ? "" : `<= ${atMost}`;
}

function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return "none";
  return value >= 100 ? value.toFixed(0) : String(Number(value.toPrecision(3)));
}
