/**
 * Folder of a host's durable state, with its lock and identity.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  link,
  mkdir,
  open,
  readdir,
  readFile,
  rename,
  rm,
} from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import process from "node:process";
import type { GroupName, ReplicaId } from "rhubarbstage";
import {
  formatVersion,
  groupsFolder,
  identityFile,
  lockFile,
} from "./constants.ts";
import { DiskRetry, type DiskRetryOptions } from "./disk_retry.ts";
import { DurableLog } from "./durable_log.ts";
import { CorruptionError, FolderInUseError } from "./errors.ts";
import { readRecordFile, syncFolder, writeRecordFile } from "./files.ts";
import type { DataFolderOptions, Identity, IdentityChange } from "./types.ts";

/** An open data folder, locked against other processes. */
export class DataFolder {
  readonly path: string;
  #identity: Identity;
  readonly #disk: DiskRetryOptions;
  readonly #logs: DurableLog[] = [];

  private constructor(
    path: string,
    options: { identity: Identity; disk: DiskRetryOptions },
  ) {
    this.path = path;
    this.#identity = options.identity;
    this.#disk = options.disk;
  }

  /**
   * Opens a folder, or creates it with a random replica id. Throws
   * `FolderInUseError` if it is in use, `CorruptionError` if its identity file
   * is damaged or lost, or an `Error` if it is of another host or format. Waits
   * while the disk refuses to be written.
   */
  static async open(
    path: string,
    options: DataFolderOptions,
  ): Promise<DataFolder> {
    const folder = resolve(path);
    const { disk = {} } = options;
    return await new DiskRetry(disk).run(async () => {
      await mkdir(join(folder, groupsFolder), { recursive: true });
      await syncFolder(folder);
      await syncFolder(dirname(folder));
      await acquireLock(folder);
      try {
        const identity = await loadIdentity(folder, options);
        return new DataFolder(folder, { identity, disk });
      } catch (thrown) {
        await rm(join(folder, lockFile), { force: true });
        throw thrown;
      }
    });
  }

  get identity(): Identity {
    return this.#identity;
  }

  /** Changes the identity; durable when the promise resolves. */
  async changeIdentity(change: IdentityChange): Promise<void> {
    const identity = { ...this.#identity, ...change };
    await writeIdentity(this.path, identity);
    this.#identity = identity;
  }

  /** Opens the log of a group, or creates an empty one. */
  async openLog(group: GroupName): Promise<DurableLog> {
    const { replica } = this.#identity;
    const disk = this.#disk;
    const folder = join(this.path, groupsFolder, group);
    const log = await new DiskRetry(disk).run(() =>
      DurableLog.open({ folder, group, replica, disk })
    );
    this.#logs.push(log);
    return log;
  }

  /** Finishes pending writes and unlocks the folder. */
  async close(): Promise<void> {
    for (const log of this.#logs) await log.close();
    await rm(join(this.path, lockFile), { force: true });
  }
}

async function loadIdentity(
  folder: string,
  options: DataFolderOptions,
): Promise<Identity> {
  const value = await readRecordFile(join(folder, identityFile));
  if (value !== undefined) return checkIdentity(value, options);
  const groups = await readdir(join(folder, groupsFolder));
  if (groups.length > 0) {
    throw new CorruptionError(identityFile, {
      offset: 0,
      detail: "the file is missing, but the folder contains logs",
    });
  }
  const identity: Identity = {
    replica: randomUUID() as ReplicaId,
    host: options.host,
    grant: undefined,
    isBootstrapped: false,
  };
  await writeIdentity(folder, identity);
  return identity;
}

function checkIdentity(value: unknown, options: DataFolderOptions): Identity {
  const stored = value as Identity & { version: number };
  if (stored.version !== formatVersion) {
    throw new Error(
      `Data folder has format version ${stored.version}, not ${formatVersion}`,
    );
  }
  if (stored.host !== options.host) {
    throw new Error(
      `Data folder belongs to host "${stored.host}", not "${options.host}"`,
    );
  }
  const { replica, host, isBootstrapped } = stored;
  return { replica, host, grant: stored.grant ?? undefined, isBootstrapped };
}

function writeIdentity(folder: string, identity: Identity): Promise<void> {
  const value = { version: formatVersion, ...identity };
  return writeRecordFile(join(folder, identityFile), value);
}

/** Locks the folder, because two processes would corrupt its files. */
async function acquireLock(folder: string): Promise<void> {
  const file = join(folder, lockFile);
  const ownEntry = await describeProcess(process.pid);
  for (let attempt = 0; attempt < 2; attempt += 1) {
    try {
      const handle = await open(file, "wx");
      try {
        await handle.writeFile(ownEntry);
      } catch (thrown) {
        await rm(file, { force: true });
        throw thrown;
      } finally {
        await handle.close();
      }
      return;
    } catch (thrown) {
      if ((thrown as { code?: string }).code !== "EEXIST") throw thrown;
    }
    const owner = await readFile(file, "utf8");
    const pid = Number.parseInt(owner, 10);
    const hasStartTime = !owner.endsWith(unknownStartTime);
    if (pid > 0 && hasStartTime && owner === await describeProcess(pid)) {
      throw new FolderInUseError(folder, { process: pid });
    }
    await removeStaleLock(file, owner);
  }
  throw new Error(
    `Data folder "${folder}" cannot be locked: "${file}" still exists`,
  );
}

/**
 * Removes the lock of a process that has ended. If another process has replaced
 * the lock in the meantime, its lock is restored.
 */
async function removeStaleLock(
  file: string,
  expectedOwner: string,
): Promise<void> {
  const movedFile = `${file}.${process.pid}`;
  await rename(file, movedFile).catch(() => {});
  const movedOwner = await readFile(movedFile, "utf8").catch(() =>
    expectedOwner
  );
  if (movedOwner !== expectedOwner) await link(movedFile, file).catch(() => {});
  await rm(movedFile, { force: true });
}

/** Replaces a start time that cannot be read. */
const unknownStartTime = "unknown";

/**
 * Returns process id and start time, because ids are reused. A process without
 * a readable start time may have ended, so its lock is ignored: if the system
 * hides processes, the operator must start only one per folder.
 */
async function describeProcess(pid: number): Promise<string> {
  try {
    const fields = await readFile(`/proc/${pid}/stat`, "utf8");
    // The start time is field 22; the name in field 2 may contain spaces.
    const startTime = fields.slice(fields.lastIndexOf(")") + 2).split(" ")[19];
    return `${pid} ${startTime}`;
  } catch {
    return `${pid} ${unknownStartTime}`;
  }
}
