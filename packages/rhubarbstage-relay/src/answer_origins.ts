/**
 * Where streams began, so that a stream that is taken up goes on at a server of
 * the same software version.
 *
 * @module
 */

import type { AnswerOrigin } from "@rhubarbstage/policy";
import type { RequestId, ServiceName, SoftwareVersion } from "rhubarbstage";

/** Service and software version that began a stream. */
export interface StreamOrigin extends AnswerOrigin {
  readonly service: ServiceName;
}

/** Software versions of servers; undefined stands for servers without one. */
export type SoftwareVersions = ReadonlySet<SoftwareVersion | undefined>;

/** A stream that has begun. */
export interface BegunStream {
  /** Id of the caller's attempt that brought its first event. */
  readonly request: RequestId;
  readonly origin: StreamOrigin;
  /** Time for which its caller may take it up, in milliseconds. */
  readonly lifetime: number;
}

/** Remembers where streams began, beyond the life of the host that relays them. */
export abstract class AnswerOrigins {
  /** Records a stream whose first event is about to be relayed. */
  abstract record(stream: BegunStream): void;

  /** Returns the origin of a stream; undefined if no host knows it. */
  abstract find(request: RequestId): Promise<StreamOrigin | undefined>;

  /**
   * Returns the software versions of the servers of a service, as other hosts
   * know them now; undefined if too few answer. What this host knows alone may be
   * older than a stream that began elsewhere.
   */
  abstract findVersions(
    service: ServiceName,
  ): Promise<SoftwareVersions | undefined>;
}

/** Maximum streams in a table, to bound its memory. */
const maxStreams = 100_000;
/** Time between two searches for streams that have expired, in milliseconds. */
const expiryInterval = 1_000;

interface Entry {
  readonly stream: BegunStream;
  /** Monotonic time, in milliseconds. */
  readonly expiresAt: number;
}

/** Streams in one host's memory, each for as long as it may be taken up. */
export class StreamTable {
  readonly #entries = new Map<RequestId, Entry>();
  #searchedAt = -Infinity;

  /** Streams in memory, expired ones included. */
  get size(): number {
    return this.#entries.size;
  }

  /** @param now Monotonic time, in milliseconds. */
  add(stream: BegunStream, now: number): void {
    const { request, lifetime } = stream;
    if (now - this.#searchedAt >= expiryInterval) this.#forgetExpired(now);
    if (this.#entries.size >= maxStreams) return;
    this.#entries.set(request, { stream, expiresAt: now + lifetime });
  }

  find(request: RequestId, now: number): StreamOrigin | undefined {
    const entry = this.#entries.get(request);
    if (entry === undefined || entry.expiresAt <= now) return undefined;
    return entry.stream.origin;
  }

  /** Returns the streams that have not expired, with the lifetime left. */
  list(now: number): BegunStream[] {
    return [...this.#entries.values()]
      .filter(({ expiresAt }) => expiresAt > now)
      .map(({ stream, expiresAt }) => ({
        ...stream,
        lifetime: expiresAt - now,
      }));
  }

  #forgetExpired(now: number): void {
    this.#searchedAt = now;
    for (const [request, { expiresAt }] of this.#entries) {
      if (expiresAt <= now) this.#entries.delete(request);
    }
  }
}
