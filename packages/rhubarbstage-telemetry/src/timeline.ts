/**
 * The timeline of events: recording, queries and merging.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import {
  compareTimestamps,
  type HostId,
  HybridLogicalClock,
  type Incarnation,
} from "rhubarbstage";
import {
  defaultEventLimit,
  defaultRingCapacity,
  defaultTimelineBytes,
  defaultTimelineFiles,
  maxPendingEvents,
} from "./constants.ts";
import { EventRing } from "./event_ring.ts";
import { redactField } from "./redaction.ts";
import { rotatedFileName, RotatingFile } from "./rotating_file.ts";
import type {
  EventSubject,
  Fields,
  FieldValue,
  TimelineEvent,
  TimelineFilter,
} from "./types.ts";

/** Options of a {@linkcode Timeline}. */
export interface TimelineOptions {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  /** Shared with the links between hosts, so that timestamps are causal. */
  readonly clock?: HybridLogicalClock;
  /** Without a file, events are only kept in the in-memory ring. */
  readonly file?: string;
  /** Size at which the file is rotated, in bytes; defaults to 16 MiB. */
  readonly maxBytes?: number;
  /** Files that are kept, the current one included; defaults to 4. */
  readonly maxFiles?: number;
  /** Maximum events in memory for live queries; defaults to 10,000. */
  readonly ringEvents?: number;
  /** Receives errors of the file system. */
  readonly onError?: (error: unknown) => void;
}

/** Details that are recorded with the name of an event. */
export interface EventDetails extends EventSubject {
  readonly fields?: Fields;
}

function redactFields(fields: Fields = {}): Record<string, FieldValue> {
  const redacted: Record<string, FieldValue> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (value !== undefined) redacted[name] = redactField(name, value);
  }
  return redacted;
}

/** Records the events of one process. */
export class Timeline {
  /** Clock of this process; links observe received timestamps on it. */
  readonly clock: HybridLogicalClock;
  readonly #options: TimelineOptions;
  readonly #ring: EventRing;
  readonly #file: RotatingFile | undefined;
  #sequence = 0;

  constructor(options: TimelineOptions) {
    this.#options = options;
    this.clock = options.clock ?? new HybridLogicalClock();
    this.#ring = new EventRing(options.ringEvents ?? defaultRingCapacity);
    if (options.file === undefined) return;
    this.#file = new RotatingFile(options.file, {
      maxBytes: options.maxBytes ?? defaultTimelineBytes,
      maxFiles: options.maxFiles ?? defaultTimelineFiles,
      maxPending: maxPendingEvents,
      onError: options.onError ?? (() => {}),
    });
  }

  /** Events dropped from the file because the disk was too slow. */
  get dropped(): number {
    return this.#file?.dropped ?? 0;
  }

  /** Records an event. `event` is a name in snake_case. */
  record(event: string, details: EventDetails = {}): TimelineEvent {
    this.#sequence += 1;
    const { request, server, revision } = details;
    const recorded: TimelineEvent = {
      at: this.clock.next(),
      host: this.#options.host,
      incarnation: this.#options.incarnation,
      sequence: this.#sequence,
      event,
      ...(request === undefined ? {} : { request }),
      ...(server === undefined ? {} : { server }),
      ...(revision === undefined ? {} : { revision }),
      fields: redactFields(details.fields),
    };
    this.#ring.add(recorded);
    this.#file?.write(JSON.stringify(recorded));
    return recorded;
  }

  /** Returns the matching events in memory, oldest first. */
  query(filter: TimelineFilter = {}): TimelineEvent[] {
    return selectEvents(this.#ring.list(), filter);
  }

  /** Resolves when all events so far are passed to the operating system. */
  async flush(): Promise<void> {
    await this.#file?.flush();
  }
}

/** Returns whether an event matches a filter; ignores its limit. */
export function matchesFilter(
  event: TimelineEvent,
  filter: TimelineFilter,
): boolean {
  return (filter.request === undefined || event.request === filter.request) &&
    (filter.server === undefined || event.server === filter.server) &&
    (filter.revision === undefined || event.revision === filter.revision) &&
    (filter.from === undefined || event.at.wall >= filter.from) &&
    (filter.to === undefined || event.at.wall <= filter.to);
}

function selectEvents(
  events: Iterable<TimelineEvent>,
  filter: TimelineFilter,
): TimelineEvent[] {
  const matching: TimelineEvent[] = [];
  for (const event of events) {
    if (matchesFilter(event, filter)) matching.push(event);
  }
  const limit = filter.limit ?? defaultEventLimit;
  return matching.slice(Math.max(0, matching.length - limit));
}

function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  return compareTimestamps(left.at, right.at) ||
    (left.host < right.host ? -1 : left.host > right.host ? 1 : 0) ||
    left.incarnation - right.incarnation || left.sequence - right.sequence;
}

/**
 * Merges events of several processes in causal order. Events that several
 * sources have appear once.
 */
export function mergeTimelines(
  sources: readonly (readonly TimelineEvent[])[],
  filter: TimelineFilter = {},
): TimelineEvent[] {
  const events = new Map<string, TimelineEvent>();
  for (const event of sources.flat()) {
    events.set(`${event.host}/${event.incarnation}/${event.sequence}`, event);
  }
  return selectEvents([...events.values()].sort(compareEvents), filter);
}

function parseLine(line: string): TimelineEvent | undefined {
  try {
    return JSON.parse(line) as TimelineEvent;
  } catch {
    // A killed process leaves an incomplete last line.
    return undefined;
  }
}

async function readLines(file: string): Promise<string[]> {
  return (await readFile(file, "utf8")).split("\n");
}

/**
 * Reads a timeline file and the older files that it was rotated to, oldest
 * first. Incomplete lines are skipped. Throws when `file` does not exist.
 */
export async function readTimelineFile(
  file: string,
  filter: TimelineFilter = {},
): Promise<TimelineEvent[]> {
  const files = [await readLines(file)];
  for (let age = 1;; age += 1) {
    try {
      files.unshift(await readLines(rotatedFileName(file, age)));
    } catch {
      break;
    }
  }
  const events = files.flat().filter((line) => line !== "")
    .flatMap((line) => parseLine(line) ?? []);
  return selectEvents(events, filter);
}

/** Formats the time of an event: wall time in UTC and the counter. */
export function formatTimestamp(event: TimelineEvent): string {
  return `${new Date(event.at.wall).toISOString()}+${event.at.counter}`;
}
