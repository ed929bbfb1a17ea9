/**
 * Figures of the capacity report: measured points, the line fitted to them and
 * its value at the size expected in two years.
 *
 * @module
 */

/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A quantity that was measured at several sizes. */
export interface CapacityFigure {
  readonly name: string;
  readonly unit: string;
  /** Quantity that the size counts. */
  readonly size: string;
  readonly points: readonly Point[];
  /** Size to which the line is extrapolated. */
  readonly target: number;
  /** Limit at the target, in the unit of the figure. */
  readonly limit?: number;
}

/** A least-squares line. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Largest distance of a point from the line, as a share of the point. */
  readonly residual: number;
}

/** Fits a least-squares line to at least two points of different sizes. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  let numerator = 0;
  let denominator = 0;
  for (const { x, y } of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  const slope = numerator / denominator;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(({ x, y }) =>
    Math.abs(intercept + slope * x - y) / Math.max(Math.abs(y), Number.EPSILON)
  );
  return { intercept, slope, residual: Math.max(...residuals) };
}

/** Returns the value of the line at a size. */
export function extrapolate(line: Line, size: number): number {
  return line.intercept + line.slope * size;
}

/** Formats with three significant digits and without an exponent. */
export function formatNumber(value: number): string {
  return Number(value.toPrecision(3)).toLocaleString("en", {
    maximumSignificantDigits: 3,
    useGrouping: false,
  });
}

/** Formats one row of the report's table. */
export function formatFigure(figure: CapacityFigure): string {
  const line = fitLine(figure.points);
  const measured = figure.points
    .map(({ x, y }) => `${x}: ${formatNumber(y)}`)
    .join(", ");
  const cells = [
    `${figure.name} (${figure.unit})`,
    `${figure.size}: ${measured}`,
    `${formatNumber(line.intercept)} + ${formatNumber(line.slope)}·x`,
    `${Math.round(line.residual * 100)}%`,
    formatTarget(figure, line),
    figure.limit === undefined ? "" : formatNumber(figure.limit),
  ];
  return `| ${cells.join(" | ")} |`;
}

function formatTarget(figure: CapacityFigure, line: Line): string {
  const { points, target } = figure;
  const measured = points.find(({ x }) => x === target);
  if (measured !== undefined) {
    return `${target}: ${formatNumber(measured.y)} (measured)`;
  }
  const value = extrapolate(line, target);
  return `${target}: ${formatNumber(value)} (extrapolated)`;
}

/** Header rows of the report's table. */
export const figureTableHead = [
  "| figure | measured | line | residual | at the target | limit |",
  "| --- | --- | --- | --- | --- | --- |",
];
