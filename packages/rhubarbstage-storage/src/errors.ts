/**
 * Errors of the data folder.
 *
 * @module
 */

/** Thrown for damage on disk that is not a torn tail of a log. */
export class CorruptionError extends Error {
  readonly file: string;
  /** Byte offset of the single damaged record, if any, else 0. */
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

/** Thrown when a running process has locked the data folder. */
export class FolderInUseError extends Error {
  constructor(folder: string, options: { process: number }) {
    super(
      `Data folder "${folder}" is in use by process ${options.process}`,
    );
    this.name = "FolderInUseError";
  }
}
