/**
 * Checks of records and log values from servers and other hosts. Hosts of
 * earlier software versions, and other programs with access to the network,
 * write them, too; what is not valid must reach neither the state nor other
 * components.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import type {
  LogValue,
  ServerLoad,
  ServerRecord,
  SharedPartMark,
  SharedQuarantineMark,
  SharedRequestLimit,
} from "./types.ts";

/** Maximum length of ids and names, in characters. */
export const maxNameLength = 256;
/** Maximum names in one list of a record, so that it fits a frame of a link. */
export const maxListLength = 1_024;
/** Maximum capacity: a server accepts no more connections than it has ports. */
export const maxCapacity = 65_535;
/**
 * Maximum incarnation, sequence and takeover number; hosts that increment them
 * remain within the integers that a number represents exactly.
 */
export const maxRecordVersion = 2 ** 52;

/** Maximum depth of a log value; hosts encode the values that they pass on. */
const maxValueDepth = 16;
const maxPort = 65_535;
/** Values of headers: requests name the server that they are meant for. */
const idPattern = /^[\x21-\x7e]+$/;
const roles: readonly unknown[] = ["prefill", "decode", "mixed"];
const states: readonly unknown[] = [
  "serving",
  "changing",
  "draining",
  "leaving",
];

type Fields = Readonly<Record<string, unknown>>;
type FieldCheck = (value: unknown) => boolean;

/** Checks of the fields that hosts use, with the requirement they state. */
const serverFields: Readonly<Record<string, [FieldCheck, string]>> = {
  id: [isServerId, `1 to ${maxNameLength} visible ASCII characters`],
  incarnation: [isRecordVersion, `an integer from 0 to ${maxRecordVersion}`],
  sequence: [isRecordVersion, `an integer from 0 to ${maxRecordVersion}`],
  takeover: [isRecordVersion, `an integer from 0 to ${maxRecordVersion}`],
  address: [isServerAddress, "an HTTP origin with a port from 1 to 65535"],
  region: [isName, `text of at most ${maxNameLength} characters`],
  availabilityZone: [isName, `text of at most ${maxNameLength} characters`],
  models: [isNameList, `at most ${maxListLength} names`],
  services: [isNameList, `at most ${maxListLength} names`],
  role: [(value) => roles.includes(value), "a role"],
  softwareVersion: [
    (value) => value === undefined || isName(value),
    `text of at most ${maxNameLength} characters`,
  ],
  capacity: [isCapacity, `an integer from 0 to ${maxCapacity}`],
  state: [(value) => states.includes(value), "a state"],
  leaving: [(value) => typeof value === "boolean", "true or false"],
  spot: [
    (value) => value === undefined || typeof value === "boolean",
    "true or false",
  ],
  leavesIn: [
    (value) => value === undefined || isAmount(value),
    "a number of milliseconds",
  ],
  loaded: [isNameList, `at most ${maxListLength} names`],
};

/**
 * Throws `invalid_request` with field, value and requirement if a server cannot
 * have the record.
 */
export function checkServerRecord(
  record: unknown,
): asserts record is ServerRecord {
  if (!isFields(record)) {
    throw new RhubarbstageError("invalid_request", {
      message: "The record of a server must be an object",
    });
  }
  for (const [field, [isValid, requirement]] of Object.entries(serverFields)) {
    const value = record[field];
    if (isValid(value)) continue;
    throw new RhubarbstageError("invalid_request", {
      message: `${field}: ${describeValue(value)} is not ${requirement}`,
    });
  }
}

/**
 * Returns a received log value without its invalid elements; `unreadable` if
 * nothing of it is valid. Types of later software versions remain as they are.
 */
export function readLogValue(value: unknown): LogValue {
  if (!isFields(value) || typeof value.type !== "string") return unreadable;
  if (!isWithinDepth(value, maxValueDepth)) return unreadable;
  switch (value.type) {
    case "host":
      return isHostRecord(value.record) ? value as LogValue : unreadable;
    case "server":
      return isServerRecord(value.record) ? value as LogValue : unreadable;
    case "server_gone":
      return isRemoval(value) ? value as LogValue : unreadable;
    case "marks":
      return { type: "marks", marks: filterList(value.marks, isMark) };
    case "part_marks":
      return { type: "part_marks", marks: filterList(value.marks, isPartMark) };
    case "request_limits":
      return {
        type: "request_limits",
        limits: filterList(value.limits, isRequestLimit),
      };
    case "revision":
      return isCount(value.revision) ? value as LogValue : unreadable;
    default:
      return value as unknown as LogValue;
  }
}

/** Whether a value is a load report with amounts that can be added up. */
export function isServerLoad(value: unknown): value is ServerLoad {
  return isFields(value) && isCount(value.runningRequests) &&
    isCount(value.queuedRequests) && isAmount(value.cacheTokensUsed) &&
    isAmount(value.cacheTokensTotal);
}

/** Whether a value is a finite number of at least 0. */
export function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** Whether a value is an age; it is infinite for what never happened. */
export function isAge(value: unknown): value is number {
  return typeof value === "number" && value >= 0;
}

/** Whether a value is an integer of at least 0 that is exact. */
export function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Whether a value is a number that orders records or processes. */
export function isRecordVersion(value: unknown): value is number {
  return isCount(value) && value <= maxRecordVersion;
}

/** Whether a value is a name; it may be empty. */
export function isName(value: unknown): value is string {
  return typeof value === "string" && value.length <= maxNameLength;
}

const unreadable: LogValue = { type: "unreadable" };

function isFields(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isWithinDepth(value: unknown, depth: number): boolean {
  if (typeof value !== "object" || value === null) return true;
  return depth > 0 &&
    Object.values(value).every((item) => isWithinDepth(item, depth - 1));
}

function isServerId(value: unknown): boolean {
  return isName(value) && idPattern.test(value);
}

function isServerAddress(value: unknown): boolean {
  if (!isName(value) || !URL.canParse(value)) return false;
  const url = new URL(value);
  const isHttp = url.protocol === "http:" || url.protocol === "https:";
  const isOrigin = url.pathname === "/" && url.search === "" &&
    url.hash === "" && url.username === "" && url.password === "";
  return isHttp && isOrigin && url.port !== "0";
}

function isNameList(value: unknown): boolean {
  return Array.isArray(value) && value.length <= maxListLength &&
    value.every((item) => isName(item) && item !== "");
}

function isCapacity(value: unknown): boolean {
  return isCount(value) && value <= maxCapacity;
}

function isServerRecord(record: unknown): boolean {
  try {
    checkServerRecord(record);
    return true;
  } catch {
    return false;
  }
}

/** Whether a value is a host's record; its address is where links are opened. */
function isHostRecord(value: unknown): boolean {
  return isFields(value) && isName(value.host) && value.host !== "" &&
    isName(value.region) && isName(value.availabilityZone) &&
    isPeerAddress(value.peerAddress) && isName(value.httpAddress);
}

function isPeerAddress(value: unknown): boolean {
  if (!isName(value)) return false;
  const port = Number(/^.+:(\d{1,5})$/.exec(value)?.[1] ?? 0);
  return port >= 1 && port <= maxPort;
}

function isRemoval({ id, incarnation, sequence, takeover }: Fields): boolean {
  // Records of earlier software versions had no maximum.
  return isServerId(id) && isCount(incarnation) && isCount(sequence) &&
    isCount(takeover);
}

function isMark(value: unknown): value is SharedQuarantineMark {
  return isFields(value) && typeof value.fingerprint === "string" &&
    isCount(value.crashes) && isAge(value.age) &&
    (value.crash === undefined || isFields(value.crash));
}

function isPartMark(value: unknown): value is SharedPartMark {
  return isFields(value) && typeof value.part === "string" &&
    Array.isArray(value.crashes) &&
    value.crashes.every((item) =>
      isFields(item) && typeof item.crash === "string" && isAge(item.age)
    );
}

function isRequestLimit(value: unknown): value is SharedRequestLimit {
  return isFields(value) && isServerId(value.server) &&
    isCount(value.incarnation) && isAge(value.age) &&
    (value.limit === undefined || isAmount(value.limit));
}

/** Returns the valid elements of a list; none if it is not a list. */
function filterList<Element>(
  value: unknown,
  isValid: (element: unknown) => element is Element,
): Element[] {
  return Array.isArray(value) ? value.filter(isValid) : [];
}

/** Text of a value for an error message, without its nested content. */
function describeValue(value: unknown): string {
  if (typeof value === "string") {
    const shown = value.slice(0, maxShownLength);
    const rest = value.length > maxShownLength
      ? ` (${value.length} characters)`
      : "";
    return `${JSON.stringify(shown)}${rest}`;
  }
  if (Array.isArray(value)) return `a list of ${value.length}`;
  return isFields(value) ? "an object" : String(value);
}

/** Maximum characters of a value in an error message. */
const maxShownLength = 64;
