/**
 * Forwarding of exchanges with servers through other hosts.
 *
 * A host that reaches a server less well than others keeps its callers' requests
 * and all decisions about them; only the bytes of one exchange take the detour.
 * It asks other hosts for their help when it needs it, entry hosts of its region
 * first and hosts without callers last, so that quiet days cost nothing.
 *
 * @module
 */

import type { BackendServerAddress } from "@rhubarbstage/engine";
import type { HostRecord, Membership } from "@rhubarbstage/membership";
import {
  type Dialect,
  ExchangeError,
  type ExchangeRequest,
  type ExchangeResponse,
  ForwardingHosts,
  NoForwardingHostError,
} from "@rhubarbstage/relay";
import type { Transport } from "@rhubarbstage/transport";
import {
  type BackendServerId,
  hashText,
  type HostId,
  type Region,
} from "rhubarbstage";
import {
  ForwardedExchange,
  ForwardingRefusedError,
} from "./forwarded_exchange.ts";
import {
  forwardedPart,
  forwardingOffer,
  serverProbe,
} from "./forwarding_messages.ts";

/** Offers with which a host is content. */
const wantedOffers = 3;
/** Hosts asked for an offer at once. */
const offersPerRound = 4;
/** Time to wait for an offer, in milliseconds: a new link between regions. */
const offerTimeout = 400;
/** Age at which offers are asked for again, in milliseconds. */
const offerRefreshInterval = 1_000;
/** Age from which offers are not used, in milliseconds. */
const maxOfferAge = 3_000;
/** Hosts that are tried for one exchange. */
const maxForwardingTries = 3;
/** Hosts asked whether they reach a server. */
const probingPeers = 2;
/** Time to wait for their answers, in ms: a probe and a path between regions. */
const peerProbeTimeout = 800;
/** Exchanges by which a farther host must be less loaded to be preferred. */
const tierPenalty = 4;

/** Options of an {@linkcode ExchangeForwarding}. */
export interface ExchangeForwardingOptions {
  readonly host: HostId;
  readonly region: Region;
  readonly transport: Transport;
  readonly membership: Pick<Membership, "listLiveHosts">;
  readonly dialect: Dialect;
  readonly onForward?: (exchange: {
    /** Id that the caller sent for its attempt; empty if it sent none. */
    readonly request: string;
    readonly server: BackendServerId;
    readonly peer: HostId;
  }) => void;
  readonly signal: AbortSignal;
}

/** A host that has offered its help. */
interface Offer {
  readonly host: HostId;
  /** 0 for the preferred hosts. */
  readonly tier: number;
  /** Exchanges of this host that it carries. */
  running: number;
}

/** Sends exchanges through other hosts, and asks them about servers. */
export class ExchangeForwarding extends ForwardingHosts {
  readonly #options: ExchangeForwardingOptions;
  readonly #exchanges = new Map<number, ForwardedExchange>();
  readonly #queries = new Map<BackendServerId, Promise<boolean>>();
  #offers = new Map<HostId, Offer>();
  #search: Promise<void> | undefined;
  #searchedAt = -Infinity;
  #lastId = 0;

  constructor(options: ExchangeForwardingOptions) {
    super();
    this.#options = options;
    options.transport.onMessage(forwardedPart, (part, { host }) => {
      const exchange = this.#exchanges.get(part.id);
      if (exchange?.peer === host) exchange.receive(part);
    });
    options.transport.onLink(({ kind, peer }) => {
      if (kind === "down") this.#offers.delete(peer.host);
    }, { signal: options.signal });
  }

  /** Whether a host has offered its help. */
  get hasOffers(): boolean {
    return this.#offers.size > 0;
  }

  /** Whether a search for offers has ended without one. */
  get isRefused(): boolean {
    return !this.hasOffers && this.#search === undefined &&
      this.#searchedAt > -Infinity;
  }

  /** Asks for offers, unless they are fresh; called while they are needed. */
  prepare(): void {
    const age = performance.now() - this.#searchedAt;
    if (this.#search !== undefined || age < offerRefreshInterval) return;
    if (age > maxOfferAge) this.#offers.clear();
    this.#search = this.#findOffers().finally(() => {
      this.#search = undefined;
      this.#searchedAt = performance.now();
    });
  }

  override async send(
    server: BackendServerAddress,
    request: ExchangeRequest,
    options: { readonly signal: AbortSignal },
  ): Promise<ExchangeResponse> {
    const tried = new Set<HostId>();
    while (tried.size < maxForwardingTries) {
      const offer = await this.#selectOffer(tried);
      if (offer === undefined || options.signal.aborted) break;
      tried.add(offer.host);
      try {
        return await this.#sendThrough(offer, { server, request, ...options });
      } catch (thrown) {
        if (!(thrown instanceof ForwardingRefusedError)) throw thrown;
        if (!isAboutServer(thrown)) this.#offers.delete(offer.host);
      }
    }
    if (tried.size === 0) throw new NoForwardingHostError();
    throw new ExchangeError("No other host sent the request to the server", {
      maybeDelivered: false,
    });
  }

  /** Asks other hosts whether one of them reaches a server's process. */
  reaches(server: BackendServerId): Promise<boolean> {
    const existing = this.#queries.get(server);
    if (existing !== undefined) return existing;
    const query = this.#askForServer(server)
      .finally(() => this.#queries.delete(server));
    this.#queries.set(server, query);
    return query;
  }

  async #sendThrough(
    offer: Offer,
    call: {
      readonly server: BackendServerAddress;
      readonly request: ExchangeRequest;
      readonly signal: AbortSignal;
    },
  ): Promise<ExchangeResponse> {
    const { server, request, signal } = call;
    const { transport, dialect, onForward } = this.#options;
    this.#lastId += 1;
    const id = this.#lastId;
    const exchange = new ForwardedExchange({
      id,
      peer: offer.host,
      transport,
      dialect,
      signal,
      onEnd: () => {
        this.#exchanges.delete(id);
        offer.running -= 1;
      },
    });
    this.#exchanges.set(id, exchange);
    offer.running += 1;
    onForward?.({
      request: request.id ?? "",
      server: server.id,
      peer: offer.host,
    });
    return await exchange.start(server.id, request);
  }

  /** Returns the least loaded of the nearest hosts, if any is left. */
  async #selectOffer(tried: ReadonlySet<HostId>): Promise<Offer | undefined> {
    if (!this.hasOffers) {
      this.prepare();
      await this.#search;
    }
    let selected: Offer | undefined;
    let lowest = Infinity;
    for (const offer of this.#offers.values()) {
      const load = offer.running + offer.tier * tierPenalty;
      if (load >= lowest || tried.has(offer.host)) continue;
      selected = offer;
      lowest = load;
    }
    return selected;
  }

  async #findOffers(): Promise<void> {
    const { transport, signal } = this.#options;
    const candidates = this.#rankHosts();
    const offers = new Map<HostId, Offer>();
    let next = 0;
    while (next < candidates.length && offers.size < wantedOffers) {
      const round = candidates.slice(next, next + offersPerRound);
      next += offersPerRound;
      await Promise.all(round.map(async ({ host, tier }) => {
        const isOffered = await transport.request(forwardingOffer, {
          to: host,
          body: null,
          timeout: offerTimeout,
          signal,
        }).catch(() => false);
        if (!isOffered) return;
        const offer = this.#offers.get(host) ?? { host, tier, running: 0 };
        offers.set(host, offer);
        this.#offers.set(host, offer);
      }));
    }
    this.#offers = offers;
  }

  /** Lists the other hosts, those to ask first at the start. */
  #rankHosts(): { readonly host: HostId; readonly tier: number }[] {
    const { host: self, membership } = this.#options;
    return membership.listLiveHosts()
      .filter(({ host }) => host !== self)
      .map((record) => ({
        host: record.host,
        tier: this.#tierOf(record),
        rank: hashText(`forwarding\n${self}\n${record.host}`),
      }))
      .sort((left, right) => left.tier - right.tier || left.rank - right.rank);
  }

  #tierOf({ servesCallers, region }: HostRecord): number {
    if (servesCallers === false) return 2;
    return region === this.#options.region ? 0 : 1;
  }

  /** Asks hosts without callers first: they have links to all others. */
  async #askForServer(server: BackendServerId): Promise<boolean> {
    const { host: self, region, transport, membership, signal } = this.#options;
    const peers = membership.listLiveHosts()
      .filter(({ host }) => host !== self)
      .map((record) => ({
        host: record.host,
        order: Number(record.servesCallers !== false) * 2 +
          Number(record.region !== region),
        rank: hashText(`probe\n${server}\n${record.host}`),
      }))
      .sort((left, right) => left.order - right.order || left.rank - right.rank)
      .slice(0, probingPeers);
    const answers = await Promise.all(
      peers.map(({ host }) =>
        transport.request(serverProbe, {
          to: host,
          body: server,
          timeout: peerProbeTimeout,
          signal,
        }).catch(() => "unknown" as const)
      ),
    );
    return answers.includes("answered");
  }
}

/** Whether a host refused one server, and may forward to others. */
function isAboutServer({ reason }: ForwardingRefusedError): boolean {
  return reason === "unknown_server" || reason === "unreachable_server";
}
