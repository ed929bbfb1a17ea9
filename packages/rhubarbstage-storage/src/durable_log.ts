/**
 * Durable log and snapshot of one group.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { mkdir, open, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join } from "node:path";
import type { ReplicaId } from "rhubarbstage";
import {
  formatVersion,
  logFile,
  snapshotFile,
  temporarySuffix,
} from "./constants.ts";
import { DiskRetry } from "./disk_retry.ts";
import { CorruptionError } from "./errors.ts";
import {
  readIfExists,
  readRecordFile,
  replaceFile,
  syncFolder,
  writeRecordFile,
} from "./files.ts";
import { decodeRecords, encodeRecord } from "./records.ts";
import type {
  DurableLogOptions,
  HardState,
  LoadedLog,
  LogPosition,
  LogRecord,
  SnapshotRecord,
} from "./types.ts";

/** First element of an encoded record. */
const recordKinds = { header: 0, hardState: 1, entry: 2 } as const;

type EncodedRecord =
  | [
    kind: 0,
    version: number,
    group: string,
    replica: string,
    index: number,
    term: number,
  ]
  | [kind: 1, term: number, vote: string | null]
  | [kind: 2, index: number, term: number, kind: number, data: Uint8Array];

interface AppendRequest {
  readonly hardState: HardState;
  readonly records: readonly LogRecord[];
}

/** A queued append or file operation; one queue keeps them in order. */
interface QueuedOperation {
  readonly append?: AppendRequest;
  readonly run?: () => Promise<void>;
  readonly resolve: () => void;
  readonly reject: (error: unknown) => void;
}

/** Records that a log file keeps, and the position before the first of them. */
interface KeptRecords {
  readonly base: LogPosition;
  readonly tail: { position: LogPosition; bytes: Buffer }[];
}

/**
 * A log whose writes are durable when their promises resolve. While the disk
 * refuses an operation, it and all later ones wait.
 */
export class DurableLog {
  readonly #options: DurableLogOptions;
  readonly #retry: DiskRetry;
  readonly #file: string;
  #loaded: LoadedLog | undefined;
  #handle: FileHandle;
  #bytes: number;
  #hardState: HardState;
  #base: LogPosition;
  /** Encoded records after the base, by index; kept for compaction. */
  #tail: KeptRecords["tail"] = [];
  #queue: QueuedOperation[] = [];
  #isWriting = false;
  #failure: unknown;
  #syncCount = 0;

  private constructor(
    options: DurableLogOptions,
    opened: { loaded: LoadedLog; handle: FileHandle; bytes: number },
  ) {
    this.#options = options;
    this.#retry = new DiskRetry(options.disk);
    this.#file = join(options.folder, logFile);
    this.#loaded = opened.loaded;
    this.#handle = opened.handle;
    this.#bytes = opened.bytes;
    this.#hardState = opened.loaded.hardState;
    this.#base = opened.loaded.base;
    for (const record of opened.loaded.records) this.#addToTail(record);
  }

  /**
   * Opens the log of a group. A torn tail is truncated; other damage throws
   * `CorruptionError`.
   */
  static async open(options: DurableLogOptions): Promise<DurableLog> {
    const { folder } = options;
    await mkdir(folder, { recursive: true });
    await syncFolder(dirname(folder));
    await rm(join(folder, logFile + temporarySuffix), { force: true });
    await rm(join(folder, snapshotFile + temporarySuffix), { force: true });
    const snapshot = await readRecordFile(join(folder, snapshotFile)) as
      | SnapshotRecord
      | undefined;
    const file = join(folder, logFile);
    if (await readIfExists(file) === undefined) {
      if (snapshot !== undefined) {
        throw new CorruptionError(logFile, {
          offset: 0,
          detail: "the file is missing, but there is a snapshot",
        });
      }
      const base = { index: 0, term: 0 };
      await replaceFile(file, [encodeHeader(options, base)]);
    }
    const bytes = await readIfExists(file) as Buffer;
    const decoded = decodeRecords(`${options.group}/${logFile}`, bytes);
    const handle = await open(file, "r+");
    if (decoded.completeBytes < bytes.length) {
      await handle.truncate(decoded.completeBytes);
      await handle.sync();
    }
    const loaded = replayLog(options, {
      values: decoded.values as EncodedRecord[],
      snapshot,
      tornBytes: bytes.length - decoded.completeBytes,
    });
    const log = new DurableLog(options, {
      loaded,
      handle,
      bytes: decoded.completeBytes,
    });
    if (loaded.base.index === snapshot?.index) {
      await log.#rewriteLog({ base: log.#base, tail: log.#tail });
    }
    return log;
  }

  /** Returns the loaded records and frees them. Throws on a second call. */
  consumeLoadedLog(): LoadedLog {
    const loaded = this.#loaded;
    if (loaded === undefined) {
      throw new Error(
        `Loaded log of group "${this.#options.group}" was already consumed`,
      );
    }
    this.#loaded = undefined;
    return loaded;
  }

  /** Size of the log file in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Number of syncs for appends. */
  get syncCount(): number {
    return this.#syncCount;
  }

  /**
   * Appends a changed hard state and records, which replace all from the first
   * one's index on. Queued appends share one write and sync.
   */
  append(
    hardState: HardState,
    records: readonly LogRecord[],
  ): Promise<void> {
    return this.#enqueue({ append: { hardState, records } });
  }

  /** Saves a snapshot and drops records up to and including `compactTo`. */
  saveSnapshot(
    snapshot: SnapshotRecord,
    options: { compactTo: number },
  ): Promise<void> {
    return this.#enqueue({
      run: async () => {
        await this.#writeSnapshot(snapshot);
        const firstKept = this.#tail.findIndex(({ position }) =>
          position.index > options.compactTo
        );
        const droppedCount = firstKept < 0 ? this.#tail.length : firstKept;
        if (droppedCount === 0) return;
        await this.#rewriteLog({
          base: this.#tail[droppedCount - 1]?.position as LogPosition,
          tail: this.#tail.slice(droppedCount),
        });
      },
    });
  }

  /** Replaces log and snapshot with a snapshot from another replica. */
  installSnapshot(snapshot: SnapshotRecord): Promise<void> {
    return this.#enqueue({
      run: async () => {
        await this.#writeSnapshot(snapshot);
        const base = { index: snapshot.index, term: snapshot.term };
        await this.#rewriteLog({ base, tail: [] });
      },
    });
  }

  /** Reads the latest saved snapshot. */
  async readSnapshot(): Promise<SnapshotRecord | undefined> {
    const file = join(this.#options.folder, snapshotFile);
    return await readRecordFile(file) as SnapshotRecord | undefined;
  }

  /**
   * Finishes queued operations and closes the file. Operations that the disk
   * refuses fail.
   */
  async close(): Promise<void> {
    this.#retry.stop();
    await this.#enqueue({ run: () => Promise.resolve() }).catch(() => {});
    await this.#handle.close();
  }

  #enqueue(operation: Pick<QueuedOperation, "append" | "run">): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ ...operation, resolve, reject });
      if (!this.#isWriting) void this.#drainQueue();
    });
  }

  async #drainQueue(): Promise<void> {
    this.#isWriting = true;
    while (this.#queue.length > 0) {
      const batch = this.#dequeueBatch();
      try {
        // The state of the file is unknown, so all later writes fail too.
        if (this.#failure !== undefined) throw this.#failure;
        const run = batch[0]?.run ?? this.#encodeAppend(batch);
        await this.#retry.run(run);
        for (const operation of batch) operation.resolve();
      } catch (thrown) {
        this.#failure = thrown;
        for (const operation of batch) operation.reject(thrown);
      }
    }
    this.#isWriting = false;
  }

  /** Removes one file operation, or all appends before the next one. */
  #dequeueBatch(): QueuedOperation[] {
    const next = this.#queue.findIndex((operation) =>
      operation.run !== undefined
    );
    const count = next === 0 ? 1 : next < 0 ? this.#queue.length : next;
    return this.#queue.splice(0, count);
  }

  /** Adds a batch to the tail and returns the operation that writes it. */
  #encodeAppend(batch: readonly QueuedOperation[]): () => Promise<void> {
    const chunks: Buffer[] = [];
    for (const { append } of batch) {
      const { hardState, records } = append as AppendRequest;
      if (
        hardState.term !== this.#hardState.term ||
        hardState.vote !== this.#hardState.vote
      ) {
        this.#hardState = hardState;
        chunks.push(encodeHardState(hardState));
      }
      for (const record of records) chunks.push(this.#addToTail(record));
    }
    const bytes = Buffer.concat(chunks);
    return async () => {
      // A failed sync may have dropped the pages of these bytes, so a repetition
      // writes all of them again.
      await this.#writeAll(bytes);
      await this.#handle.datasync();
      this.#bytes += bytes.length;
      this.#syncCount += 1;
    };
  }

  /** Writes bytes behind the last durable one. */
  async #writeAll(bytes: Buffer): Promise<void> {
    let written = 0;
    while (written < bytes.length) {
      const result = await this.#handle.write(
        bytes,
        written,
        bytes.length - written,
        this.#bytes + written,
      );
      written += result.bytesWritten;
    }
  }

  #addToTail(record: LogRecord): Buffer {
    const { index, term, kind, data } = record;
    const fields: EncodedRecord = [recordKinds.entry, index, term, kind, data];
    const bytes = encodeRecord(fields);
    const position = { index, term };
    this.#tail.length = Math.max(0, index - this.#base.index - 1);
    this.#tail.push({ position, bytes });
    return bytes;
  }

  #writeSnapshot(snapshot: SnapshotRecord): Promise<void> {
    const file = join(this.#options.folder, snapshotFile);
    return writeRecordFile(file, snapshot);
  }

  /**
   * Replaces the log file: header, hard state and kept records. Can be repeated,
   * as nothing in memory changes before the new file is in place.
   */
  async #rewriteLog({ base, tail }: KeptRecords): Promise<void> {
    const bytes = Buffer.concat([
      encodeHeader(this.#options, base),
      encodeHardState(this.#hardState),
      ...tail.map((item) => item.bytes),
    ]);
    await replaceFile(this.#file, [bytes]);
    const replaced = this.#handle;
    this.#handle = await open(this.#file, "r+");
    this.#base = base;
    this.#tail = tail;
    this.#bytes = bytes.length;
    await replaced.close();
  }
}

function encodeHeader(options: DurableLogOptions, base: LogPosition): Buffer {
  const fields: EncodedRecord = [
    recordKinds.header,
    formatVersion,
    options.group,
    options.replica,
    base.index,
    base.term,
  ];
  return encodeRecord(fields);
}

function encodeHardState(hardState: HardState): Buffer {
  const fields: EncodedRecord = [
    recordKinds.hardState,
    hardState.term,
    hardState.vote ?? null,
  ];
  return encodeRecord(fields);
}

/** Rebuilds hard state and records from a log file and the snapshot. */
function replayLog(
  options: DurableLogOptions,
  files: {
    values: readonly EncodedRecord[];
    snapshot: SnapshotRecord | undefined;
    tornBytes: number;
  },
): LoadedLog {
  const { snapshot, tornBytes } = files;
  const fail = (detail: string) =>
    new CorruptionError(`${options.group}/${logFile}`, { offset: 0, detail });
  const header = files.values[0];
  if (header === undefined || header[0] !== recordKinds.header) {
    throw fail("the header is missing");
  }
  if (header[1] !== formatVersion) {
    throw fail(`the format version is ${header[1]}, expected ${formatVersion}`);
  }
  if (header[2] !== options.group || header[3] !== options.replica) {
    throw fail(
      `the log belongs to group "${header[2]}" and replica "${
        header[3]
      }", not to "${options.group}" and "${options.replica}"`,
    );
  }
  const base = { index: header[4], term: header[5] };
  let hardState: HardState = { term: 0, vote: undefined };
  const records: LogRecord[] = [];
  for (const value of files.values.slice(1)) {
    if (value[0] === recordKinds.hardState) {
      const vote = value[2] ?? undefined;
      hardState = { term: value[1], vote: vote as ReplicaId | undefined };
    } else if (value[0] === recordKinds.entry) {
      const [, index, term, kind, data] = value;
      const offset = index - base.index - 1;
      if (offset < 0 || offset > records.length) {
        throw fail(
          `entry ${index} does not follow entry ${base.index + records.length}`,
        );
      }
      records.length = offset;
      records.push({ index, term, kind, data });
    }
  }
  return reconcileWithSnapshot({
    hardState,
    snapshot,
    base,
    records,
    tornBytes,
  }, fail);
}

/**
 * Drops the records if they do not continue the snapshot, as after a crash
 * between installing another replica's snapshot and replacing the log.
 */
function reconcileWithSnapshot(
  loaded: LoadedLog,
  fail: (detail: string) => CorruptionError,
): LoadedLog {
  const { snapshot, base, records } = loaded;
  if (snapshot === undefined) {
    if (base.index > 0) {
      throw fail(
        `the snapshot is missing, but the log starts after index ${base.index}`,
      );
    }
    return loaded;
  }
  if (base.index > snapshot.index) {
    throw fail(
      `the snapshot ends at ${snapshot.index}, before base index ${base.index}`,
    );
  }
  const positionAtSnapshot = base.index === snapshot.index
    ? base
    : records[snapshot.index - base.index - 1];
  if (positionAtSnapshot?.term === snapshot.term) return loaded;
  const { index, term } = snapshot;
  return { ...loaded, base: { index, term }, records: [] };
}
