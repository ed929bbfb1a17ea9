/**
 * Errors of the data folder.
 *
 * @module
 */

/** Bytes on disk that are neither a complete nor a torn record. */
export class CorruptionError extends Error {
  readonly file: string;
  /** Offset of the damaged record in bytes. */
  readonly offset: number;

  constructor(file: string, options: { offset: number; detail: string }) {
    super(
      `File "${file}" is corrupt at byte ${options.offset}: ${options.detail}`,
    );
    this.name = "CorruptionError";
    this.file = file;
    this.offset = options.offset;
  }
}

/** The data folder belongs to a running process. */
export class FolderInUseError extends Error {
  constructor(folder: string, options: { process: number }) {
    super(
      `Data folder "${folder}" is in use by process ${options.process}`,
    );
    this.name = "FolderInUseError";
  }
}
