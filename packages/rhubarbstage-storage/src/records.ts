/**
 * Record framing: length, checksums, payload and end marker.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import { Packr } from "msgpackr";
import {
  maxRecordBytes,
  recordEndMarker,
  recordHeaderBytes,
} from "./constants.ts";
import { CorruptionError } from "./errors.ts";

const packr = new Packr({ useRecords: false });

/** Encodes one value. Throws `RangeError` above `maxRecordBytes`. */
export function encodeRecord(value: unknown): Buffer {
  const payload = packr.pack(value);
  if (payload.length > maxRecordBytes) {
    throw new RangeError(
      `Record of ${payload.length} bytes exceeds ${maxRecordBytes} bytes`,
    );
  }
  const record = Buffer.allocUnsafe(recordHeaderBytes + payload.length + 1);
  record.writeUInt32LE(payload.length, 0);
  record.writeUInt32LE(crc32(record.subarray(0, 4)), 4);
  record.writeUInt32LE(crc32(payload), 8);
  payload.copy(record, recordHeaderBytes);
  record[record.length - 1] = recordEndMarker;
  return record;
}

/** Values of the complete records of a file. */
export interface DecodedRecords {
  readonly values: readonly unknown[];
  /** Bytes of complete records; the rest was torn by a crash. */
  readonly completeBytes: number;
}

/**
 * Decodes the complete records of a file. A record is torn when the file ends
 * before the record does or in zero bytes; any other damage throws
 * `CorruptionError`, because synced data may be lost.
 */
export function decodeRecords(file: string, bytes: Buffer): DecodedRecords {
  const values: unknown[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const damage = findDamage(bytes, offset);
    if (damage === "torn") break;
    if (damage !== undefined) {
      if (bytes.at(-1) === 0) break;
      throw new CorruptionError(file, { offset, detail: damage });
    }
    const start = offset + recordHeaderBytes;
    const end = start + bytes.readUInt32LE(offset);
    values.push(packr.unpack(bytes.subarray(start, end)));
    offset = end + 1;
  }
  return { values, completeBytes: offset };
}

function findDamage(bytes: Buffer, offset: number): string | undefined {
  if (bytes.length - offset < recordHeaderBytes) return "torn";
  const length = bytes.readUInt32LE(offset);
  const lengthChecksum = crc32(bytes.subarray(offset, offset + 4));
  if (bytes.readUInt32LE(offset + 4) !== lengthChecksum) {
    return "the checksum of the length does not match";
  }
  if (length > maxRecordBytes) {
    return `the length ${length} exceeds the limit of ${maxRecordBytes}`;
  }
  const start = offset + recordHeaderBytes;
  if (start + length + 1 > bytes.length) return "torn";
  if (
    bytes.readUInt32LE(offset + 8) !==
      crc32(bytes.subarray(start, start + length))
  ) {
    return "the checksum of the payload does not match";
  }
  if (bytes[start + length] !== recordEndMarker) {
    return "the end marker is missing";
  }
  return undefined;
}
