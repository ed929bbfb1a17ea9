/**
 * Starts processes in tests and injects faults into them and their files.
 * Signals only processes that it started.
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

/** Default timeout for a line of output, in milliseconds. */
const lineTimeout = 15_000;

/** Timeout for the exit after `SIGTERM`, in milliseconds. */
const exitTimeout = 20_000;

/** Characters of output kept per process. */
const outputLimit = 1_000_000;

/** Options of a started process. */
export interface ProgramStart {
  /** Name in the event log; the program by default. */
  readonly name?: string;
  readonly arguments?: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

/** Entry of the event log that a failed test prints. */
export interface DriverEvent {
  /** Milliseconds since the driver was created. */
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
  #recordEvent: (event: string) => void;
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
    this.#recordEvent = options.note;
    const appendOutput = (text: string) => {
      this.#output = (this.#output + text).slice(-outputLimit);
    };
    this.#child.stdout?.setEncoding("utf8").on("data", appendOutput);
    this.#child.stderr?.setEncoding("utf8").on("data", appendOutput);
    this.exited = new Promise((resolve) => {
      this.#child.once("exit", (code, signal) => {
        this.#running = false;
        this.#recordEvent(`exit ${code ?? signal}`);
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

  /** Standard output and error, truncated at the start to the limit. */
  get output(): string {
    return this.#output;
  }

  /** Waits for a line that passes the check. Throws with the output so far. */
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
    throw new Error(
      `${this.name} did not print the expected line within ` +
        `${options.timeout ?? lineTimeout} ms or exited:\n${this.#output}`,
    );
  }

  /** Waits for the JSON line that the fakes print, and parses it. */
  async ready<Ready>(): Promise<Ready> {
    return JSON.parse(await this.line((line) => line.startsWith("{")));
  }

  /** Sends `SIGTERM`; resolves with the exit code. Throws on timeout. */
  async terminate(): Promise<number | string> {
    this.#signal("SIGTERM");
    const timeout = new AbortController();
    const timeoutFailure = delay(exitTimeout, { signal: timeout.signal }).then(
      () => {
        throw new Error(
          `${this.name} did not exit in ${exitTimeout} ms:\n${this.#output}`,
        );
      },
    );
    try {
      return await Promise.race([this.exited, timeoutFailure]);
    } finally {
      timeoutFailure.catch(() => {});
      timeout.abort();
    }
  }

  /** Sends `SIGKILL`; resolves after the exit. */
  async kill(): Promise<void> {
    this.#signal("SIGKILL");
    await this.exited;
  }

  /** Suspends the process with `SIGSTOP` until it is resumed. */
  pause(): void {
    this.#signal("SIGSTOP");
  }

  /** Resumes a paused process with `SIGCONT`. */
  resume(): void {
    this.#signal("SIGCONT");
  }

  #signal(signal: NodeJS.Signals): void {
    if (!this.#running) return;
    this.#recordEvent(signal);
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
    const note = (event: string) => this.recordEvent(name, event);
    const driven = new DrivenProcess(name, { child, note });
    note(`start ${driven.pid}`);
    this.#processes.push(driven);
    return driven;
  }

  /** Records an event in the event log. */
  recordEvent(name: string, event: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#events.push({ at, process: name, event });
  }

  /** Event log as text, one event per line. */
  get eventLog(): string {
    return this.#events
      .map(({ at, process, event }) => `${at} ms ${process}: ${event}`)
      .join("\n");
  }

  /** Kills all running processes and removes the folder. */
  async stop(): Promise<void> {
    await Promise.all(this.#processes.map((driven) => driven.kill()));
    process.removeListener("exit", this.#killAll);
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Simulates the loss of a disk: deletes a data folder. */
export async function deleteDataFolder(folder: string): Promise<void> {
  await rm(folder, { recursive: true, force: true });
}

/** Simulates a torn write: truncates the end of a file by `bytes`. */
export async function truncateTail(file: string, bytes: number): Promise<void> {
  const { size } = await stat(file);
  await truncate(file, Math.max(0, size - bytes));
}

/** Flips the lowest bit of one byte. A negative offset counts from the end. */
export async function flipBit(file: string, offset: number): Promise<void> {
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
