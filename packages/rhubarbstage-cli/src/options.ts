/**
 * Options as the argument parser delivers them.
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

  /** Arguments after the ones that the command names. */
  get extraArguments(): readonly string[] {
    const rest = this.#values._;
    return Array.isArray(rest) ? rest.map(String) : [];
  }

  /** Whether a flag is set. */
  flag(name: string): boolean {
    return this.#values[name] === true;
  }

  /** All values of an option that may be repeated. */
  list(name: string): readonly string[] {
    const value = this.#values[name];
    if (value === undefined) return [];
    const list = Array.isArray(value) ? value.map(String) : [String(value)];
    if (list.includes("")) throw new UsageError(`--${name} needs a value`);
    return list;
  }

  /** The value of an option, if it is given. */
  text(name: string): string | undefined {
    const list = this.list(name);
    if (list.length > 1) throw new UsageError(`--${name} is given twice`);
    return list[0];
  }

  /** The value of an option that has to be given. */
  required(name: string): string {
    const value = this.text(name);
    if (value === undefined) throw new UsageError(`--${name} is missing`);
    return value;
  }

  /** A whole number, zero or larger. */
  integer(name: string): number | undefined {
    const value = this.text(name);
    if (value === undefined) return undefined;
    if (!/^\d{1,15}$/.test(value)) {
      throw new UsageError(`--${name} needs a whole number, not "${value}"`);
    }
    return Number(value);
  }

  /** A time in milliseconds since the Unix epoch, written as ISO 8601. */
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
