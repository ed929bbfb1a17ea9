/**
 * Typed access to the parsed command-line options.
 *
 * @module
 */

import { UsageError } from "./errors.ts";

/** Parsed options of one command. */
export class ParsedOptions {
  readonly #values: Readonly<Record<string, unknown>>;

  constructor(values: Readonly<Record<string, unknown>>) {
    this.#values = values;
  }

  /** Positional arguments beyond those that the command declares. */
  get extraArguments(): readonly string[] {
    const rest = this.#values._;
    return Array.isArray(rest) ? rest.map(String) : [];
  }

  /** Returns whether a flag is set. */
  flag(name: string): boolean {
    return this.#values[name] === true;
  }

  /** Returns all values of a repeatable option. */
  list(name: string): readonly string[] {
    const value = this.#values[name];
    if (value === undefined) return [];
    const list = Array.isArray(value) ? value.map(String) : [String(value)];
    if (list.includes("")) throw new UsageError(`--${name} needs a value`);
    return list;
  }

  /** Returns the value of an option. Throws when it is repeated. */
  text(name: string): string | undefined {
    const list = this.list(name);
    if (list.length > 1) throw new UsageError(`--${name} must not be repeated`);
    return list[0];
  }

  /** Returns the value of a required option. Throws `UsageError`. */
  required(name: string): string {
    const value = this.text(name);
    if (value === undefined) throw new UsageError(`--${name} is missing`);
    return value;
  }

  /** Returns a non-negative integer option of at most 15 digits. */
  integer(name: string): number | undefined {
    const value = this.text(name);
    if (value === undefined) return undefined;
    if (!/^\d{1,15}$/.test(value)) {
      throw new UsageError(
        `--${name} needs a whole number of at most 15 digits, not "${value}"`,
      );
    }
    return Number(value);
  }

  /** Returns an ISO 8601 time as milliseconds since the Unix epoch. */
  time(name: string): number | undefined {
    const value = this.text(name);
    if (value === undefined) return undefined;
    const time = Date.parse(value);
    if (Number.isNaN(time)) {
      throw new UsageError(`--${name} needs an ISO 8601 time, not "${value}"`);
    }
    return time;
  }
}
