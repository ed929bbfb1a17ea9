/**
 * Keeps where streams began on several hosts with a data folder, because all
 * hosts that relay requests may fail together. Only the memory of these hosts is
 * used: a host that loses its memory is told again by those that relay.
 *
 * @module
 */

import {
  hashText,
  type HostId,
  type Region,
  type RequestId,
  type ServiceName,
  type SoftwareVersion,
} from "rhubarbstage";
import type { HostRecord, Membership } from "@rhubarbstage/membership";
import {
  AnswerOrigins,
  type BegunStream,
  type SoftwareVersions,
  type StreamOrigin,
  StreamTable,
} from "@rhubarbstage/relay";
import {
  messageType,
  requestType,
  type Transport,
} from "@rhubarbstage/transport";

/** Hosts that keep the streams of one host. */
const copies = 3;
/**
 * Time to wait for another host's answer, in milliseconds: several round trips
 * between regions.
 */
const queryTimeout = 400;

interface BegunStreams {
  readonly streams: readonly BegunStream[];
}

const begunMessage = messageType<BegunStreams>("streams_begun");
const originQuery = requestType<RequestId, StreamOrigin | null>(
  "stream_origin",
);

const versionsQuery = requestType<ServiceName, (SoftwareVersion | null)[]>(
  "software_versions",
);

/** Options of an {@linkcode AnswerOriginExchange}. */
export interface AnswerOriginExchangeOptions {
  readonly host: HostId;
  readonly region: Region;
  readonly transport: Transport;
  readonly membership: Pick<Membership, "listLiveHosts">;
  /** Hosts to ask besides the live ones, such as those of the settings. */
  readonly seeds: readonly HostId[];
  /** Returns the software versions of the servers that this host knows. */
  readonly softwareVersionsOf: (service: ServiceName) => SoftwareVersions;
  readonly signal: AbortSignal;
}

/** Records and finds the origins of streams over all hosts. */
export class AnswerOriginExchange extends AnswerOrigins {
  readonly #options: AnswerOriginExchangeOptions;
  /** Streams that this host relays. */
  readonly #own = new StreamTable();
  /** Streams that this host keeps for others. */
  readonly #kept = new StreamTable();
  #unsent: BegunStream[] = [];
  #isSendScheduled = false;
  /** Hosts that have been told of all streams that have begun here. */
  readonly #informed = new Set<HostId>();

  constructor(options: AnswerOriginExchangeOptions) {
    super();
    this.#options = options;
    const { transport, signal } = options;
    transport.onMessage(begunMessage, ({ streams }) => {
      const now = performance.now();
      for (const stream of streams) this.#kept.add(stream, now);
    });
    transport.onRequest(
      originQuery,
      (request) => this.#findHere(request) ?? null,
    );
    transport.onRequest(
      versionsQuery,
      (service) =>
        [...options.softwareVersionsOf(service)].map((known) => known ?? null),
    );
    transport.onLink(({ peer }) => {
      // The peer may be a new process, without what the earlier one kept.
      this.#informed.delete(peer.host);
      this.#scheduleSend();
    }, { signal });
  }

  override record(stream: BegunStream): void {
    this.#own.add(stream, performance.now());
    this.#unsent.push(stream);
    this.#scheduleSend();
  }

  override async find(request: RequestId): Promise<StreamOrigin | undefined> {
    const known = this.#findHere(request);
    if (known !== undefined) return known;
    const queries = this.#listKeepers()
      .map(async (to) => {
        const { transport, signal } = this.#options;
        const origin = await transport.request(originQuery, {
          to,
          body: request,
          timeout: queryTimeout,
          signal,
        });
        if (origin === null) throw new Error(`${to} does not know the stream`);
        return origin;
      });
    return await Promise.any(queries).catch(() => undefined);
  }

  /** Asks all keepers and returns what a majority of them and this host know. */
  override async findVersions(
    service: ServiceName,
  ): Promise<SoftwareVersions | undefined> {
    const { transport, signal, softwareVersionsOf } = this.#options;
    const versions = new Set(softwareVersionsOf(service));
    const keepers = this.#listKeepers();
    const query = { body: service, timeout: queryTimeout, signal };
    let missing = Math.floor(keepers.length / 2) + 1;
    const answers = keepers.map(async (to) => {
      const known = await transport.request(versionsQuery, { ...query, to });
      for (const version of known) versions.add(version ?? undefined);
      missing -= 1;
      // Fails the race until the last answer that is needed.
      if (missing > 0) throw new Error(`${missing} answers are missing`);
    });
    const isConfirmed = await Promise.any(answers).then(
      () => true,
      () => keepers.length === 0,
    );
    return isConfirmed ? versions : undefined;
  }

  #findHere(request: RequestId): StreamOrigin | undefined {
    const now = performance.now();
    return this.#own.find(request, now) ?? this.#kept.find(request, now);
  }

  #scheduleSend(): void {
    if (this.#isSendScheduled) return;
    this.#isSendScheduled = true;
    setImmediate(() => {
      this.#isSendScheduled = false;
      this.#send();
    });
  }

  #send(): void {
    const { transport, signal } = this.#options;
    const unsent = this.#unsent.splice(0);
    if (signal.aborted) return;
    const keepers = this.#selectKeepers();
    for (const host of this.#informed) {
      if (!keepers.includes(host)) this.#informed.delete(host);
    }
    for (const to of keepers) {
      const streams = this.#informed.has(to)
        ? unsent
        : this.#own.list(performance.now());
      if (streams.length === 0) continue;
      const isQueued = transport.send(begunMessage, { to, body: { streams } });
      if (isQueued) this.#informed.add(to);
      else this.#informed.delete(to);
    }
  }

  /**
   * Selects the hosts that keep this host's streams: one of its own region, which
   * is told first, and others of any region.
   */
  #selectKeepers(): HostId[] {
    const { host: self, region, membership } = this.#options;
    const ranked = membership.listLiveHosts()
      .filter(({ host, replica }) => replica && host !== self)
      .map((record) => ({ ...record, rank: rankOf(record, self) }))
      .sort((left, right) => left.rank - right.rank);
    const near = ranked.find((record) => record.region === region);
    const others = ranked.filter((record) => record !== near);
    const selected = near === undefined ? others : [near, ...others];
    return selected.slice(0, copies).map(({ host }) => host);
  }

  /** Lists the hosts that may keep a stream of any host. */
  #listKeepers(): HostId[] {
    const { host: self, membership, seeds } = this.#options;
    const live = membership.listLiveHosts()
      .filter(({ replica }) => replica)
      .map(({ host }) => host);
    return [...new Set([...live, ...seeds])].filter((host) => host !== self);
  }
}

/** Ranks hosts differently for each host, so that all keep equally many. */
function rankOf({ host }: HostRecord, self: HostId): number {
  return hashText(`streams\n${self}\n${host}`);
}
