/**
 * Starts and harms processes in tests. Ends only processes that it started.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { open, rm, stat, truncate } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { delay } from "rhubarbstage";

/** Wait for a line of a started process, in milliseconds. */
const lineTimeout = 15_000;

/** Wait for an exit after a signal, in milliseconds. */
const exitTimeout = 20_000;

/** Characters of output kept for each process. */
const outputLimit = 1_000_000;

/** How a process is started. */
export interface ProgramStart {
  /** Name for the time line; the program by default. */
  readonly name?: string;
  readonly arguments?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

/** Something that the driver did, for the report of a failed test. */
export interface DriverEvent {
  /** Milliseconds since the driver was made. */
  readonly at: number;
  readonly process: string;
  readonly event: string;
}

/** A process that the driver started. */
export class DrivenProcess {
  readonly name: string;
  /** Exit code, or the name of the signal. */
  readonly exited: Promise<number | string>;
  #child: ChildProcess;
  #note: (event: string) => void;
  #output = "";
  #running = true;

  constructor(
    name: string,
    options: {
      readonly child: ChildProcess;
      readonly note: (event: string) => void;
    },
  ) {
    this.name = name;
    this.#child = options.child;
    this.#note = options.note;
    const collect = (text: string) => {
      this.#output = (this.#output + text).slice(-outputLimit);
    };
    this.#child.stdout?.setEncoding("utf8").on("data", collect);
    this.#child.stderr?.setEncoding("utf8").on("data", collect);
    this.exited = new Promise((resolve) => {
      this.#child.once("exit", (code, signal) => {
        this.#running = false;
        this.#note(`exit ${code ?? signal}`);
        resolve(code ?? signal ?? "unknown");
      });
    });
  }

  get pid(): number {
    return this.#child.pid ?? 0;
  }

  get running(): boolean {
    return this.#running;
  }

  /** Standard output and error so far, the oldest part cut off. */
  get output(): string {
    return this.#output;
  }

  /** First line for which the check holds. Throws with the output so far. */
  async line(
    check: (line: string) => boolean,
    options: { readonly timeout?: number } = {},
  ): Promise<string> {
    const endsAt = performance.now() + (options.timeout ?? lineTimeout);
    while (performance.now() < endsAt) {
      const complete = this.#output.split("\n").slice(0, -1);
      const found = complete.find(check);
      if (found !== undefined) return found;
      if (!this.#running) break;
      await delay(20);
    }
    throw new Error(`${this.name} printed no such line:\n${this.#output}`);
  }

  /** First line that is a JSON object, as the fakes print when they listen. */
  async ready<Ready>(): Promise<Ready> {
    return JSON.parse(await this.line((line) => line.startsWith("{")));
  }

  /** Asks the process to stop; resolves with its exit code. */
  async terminate(): Promise<number | string> {
    this.#signal("SIGTERM");
    const timeout = new AbortController();
    const late = delay(exitTimeout, { signal: timeout.signal }).then(() => {
      throw new Error(`${this.name} did not stop:\n${this.#output}`);
    });
    try {
      return await Promise.race([this.exited, late]);
    } finally {
      late.catch(() => {});
      timeout.abort();
    }
  }

  /** Kills the process; resolves when it is gone. */
  async kill(): Promise<void> {
    this.#signal("SIGKILL");
    await this.exited;
  }

  /** Stops the process from running until it is resumed. */
  pause(): void {
    this.#signal("SIGSTOP");
  }

  /** Lets a paused process run again. */
  resume(): void {
    this.#signal("SIGCONT");
  }

  #signal(signal: NodeJS.Signals): void {
    if (!this.#running) return;
    this.#note(signal);
    this.#child.kill(signal);
  }
}

/** Starts programs from `dist/` and cleans up after a test. */
export class ProcessDriver {
  /** Folder for settings and data, removed by `stop`. */
  readonly folder = mkdtempSync(join(tmpdir(), "rhubarbstage-"));
  #programs: string;
  #processes: DrivenProcess[] = [];
  #startedAt = performance.now();
  #events: DriverEvent[] = [];
  #killAll = () => {
    for (const driven of this.#processes) void driven.kill();
  };

  /** @param programs Folder of the bundled programs; `dist` by default. */
  constructor(programs = "dist") {
    this.#programs = programs;
    process.once("exit", this.#killAll);
  }

  /** Starts `dist/<program>.cjs`. */
  start(program: string, options: ProgramStart = {}): DrivenProcess {
    const name = options.name ?? program;
    const file = join(this.#programs, `${program}.cjs`);
    const child = spawn(
      process.execPath,
      ["--enable-source-maps", file, ...options.arguments ?? []],
      {
        cwd: process.cwd(),
        env: { ...process.env, ...options.environment },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const note = (event: string) => this.note(name, event);
    const driven = new DrivenProcess(name, { child, note });
    note(`start ${driven.pid}`);
    this.#processes.push(driven);
    return driven;
  }

  /** Adds an event to the time line. */
  note(name: string, event: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#events.push({ at, process: name, event });
  }

  /** The time line, one event a line. */
  get timeline(): string {
    return this.#events
      .map(({ at, process, event }) => `${at} ms ${process}: ${event}`)
      .join("\n");
  }

  /** Kills all processes that run and removes the folder. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map((driven) => driven.kill()));
    process.removeListener("exit", this.#killAll);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Removes a data folder, as a lost disk does. */
export async function loseDisk(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
}

/** Cuts bytes off the end of a file, as a torn write does. */
export async function truncateTail(file: string, bytes: number): Promise<void> {
  const { size } = await stat(file);
  await truncate(file, Math.max(0, size - bytes));
}

/** Flips one bit of a file. A negative offset counts from the end. */
export async function flipByte(file: string, offset: number): Promise<void> {
  const handle = await open(file, "r+");
  try {
    const { size } = await handle.stat();
    const position = offset < 0 ? size + offset : offset;
    const byte = Buffer.alloc(1);
    await handle.read(byte, 0, 1, position);
    byte[0] = (byte[0] as number) ^ 0x01;
    await handle.write(byte, 0, 1, position);
  } finally {
    await handle.close();
  }
}
