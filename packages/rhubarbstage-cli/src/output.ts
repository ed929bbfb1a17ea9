/**
 * Prints results and diagnostics of the command.
 *
 * @module
 */

import Table from "cli-table3";
import colors from "picocolors";

/** A stream that may be a terminal. */
export interface TextStream {
  write(text: string): unknown;
  readonly isTTY?: boolean;
}

/** Meaning of a text, which determines its colour on a terminal. */
export type TextStyle = "added" | "removed" | "good" | "bad" | "muted";

/** Options of an {@linkcode Output}. */
export interface OutputOptions {
  readonly stdout: TextStream;
  readonly stderr: TextStream;
  readonly env: Readonly<Record<string, string | undefined>>;
}

/**
 * Prints tables and colours on a terminal, and tab-separated plain lines
 * elsewhere, so that other programs can parse them.
 */
export class Output {
  readonly #options: OutputOptions;
  readonly #isTerminal: boolean;
  readonly #colors: ReturnType<typeof colors.createColors>;

  constructor(options: OutputOptions) {
    this.#options = options;
    this.#isTerminal = options.stdout.isTTY === true;
    const useColors = this.#isTerminal && !options.env.NO_COLOR;
    this.#colors = colors.createColors(useColors);
  }

  /** Prints a line of the result to stdout. */
  line(text: string): void {
    this.#options.stdout.write(`${text}\n`);
  }

  /** Prints a message that is not part of the result to stderr. */
  diagnostic(text: string): void {
    this.#options.stderr.write(`${text}\n`);
  }

  /** Prints the result as one JSON document. */
  json(value: unknown): void {
    this.line(JSON.stringify(value, null, 2));
  }

  /** Colours text on a terminal. */
  style(text: string, textStyle: TextStyle): string {
    const { green, red, dim } = this.#colors;
    const colorize = {
      added: green,
      removed: red,
      good: green,
      bad: red,
      muted: dim,
    }[textStyle];
    return colorize(text);
  }

  /** Prints rows below a header row. */
  table(head: readonly string[], rows: readonly (readonly string[])[]): void {
    if (!this.#isTerminal) {
      for (const row of [head, ...rows]) this.line(row.join("\t"));
      return;
    }
    const table = new Table({ head: [...head], style: { head: [] } });
    table.push(...rows.map((row) => [...row]));
    this.line(table.toString());
  }
}
