/**
 * Exchange of engine work between hosts: queries to the host that places the
 * region's work, its answers, and the ends of work.
 *
 * @module
 */

import { every, type HostId, type Region, type RequestId } from "rhubarbstage";
import type { Dispatcher } from "@rhubarbstage/gateway/dispatch";
import type { Membership } from "@rhubarbstage/membership";
import {
  type EngineWork,
  type EngineWorkEffect,
  type EngineWorkEnd,
  maxHoldFraction,
  type Placement,
  type PlacementQuery,
} from "@rhubarbstage/policy";
import {
  type LinkChange,
  messageType,
  requestType,
  type Transport,
} from "@rhubarbstage/transport";
import { listPlacementHosts } from "./placement_hosts.ts";

/**
 * Time to wait for an answer before this host chooses engines itself, in
 * milliseconds: many round trips within a region, and short beside the targets
 * of requests.
 */
const queryTimeout = 80;
/** Unanswered queries in a row after which another host is asked. */
const maxUnansweredQueries = 2;
/**
 * Time for which a silent host is not asked, in milliseconds. It doubles while
 * the host stays silent: each change of the placing host costs knowledge.
 */
const minSuspicionTime = 2_000;
const maxSuspicionTime = 16_000;
/** Interval between checks of which host places work, in milliseconds. */
const hostCheckInterval = 500;
/** Time over which work is collected for other regions, in milliseconds. */
const forwardDelay = 10;
/** Delay of the first measurement of the paths to other regions, in ms. */
const firstPathProbeDelay = 2_000;
/** Interval between measurements, in milliseconds. */
const pathProbeInterval = 10_000;
const pathProbeTimeout = 1_000;
/** Factor by which one slow probe may raise a measured round trip. */
const maxRoundTripGrowth = 1.2;

interface WorkMessage {
  readonly works: readonly (EngineWork | EngineWorkEnd)[];
  /** Whether the placing host of another region forwards its region's work. */
  readonly isForwarded: boolean;
}

/** A query of this host without its last answer. */
interface OpenQuery {
  readonly query: PlacementQuery;
  /** Host that was asked; undefined if the query could not be sent. */
  readonly to: HostId | undefined;
  timer: ReturnType<typeof setTimeout> | undefined;
}

interface AnswerMessage {
  readonly request: RequestId;
  readonly placement: Placement;
}

const queryMessage = messageType<PlacementQuery>("placement_query");
const answerMessage = messageType<AnswerMessage>("placement_answer");
/** Ends a query whose request has ended; ignored by earlier versions. */
const cancelMessage = messageType<RequestId>("placement_cancel");
const workMessage = messageType<WorkMessage>("engine_work");
const pathProbe = requestType<null, null>("path_probe");

/** Components that a {@linkcode PlacementExchange} connects. */
export interface PlacementExchangeOptions {
  readonly host: HostId;
  readonly region: Region;
  readonly transport: Transport;
  readonly membership: Pick<Membership, "listLiveHosts">;
  readonly dispatcher: Pick<Dispatcher, "notify">;
  readonly signal: AbortSignal;
  /** Called when another host places the work of the region. */
  readonly onHostChange?: (host: HostId) => void;
}

/** Work of this host that has not ended, for a host that takes over. */
interface ActiveWork {
  readonly work: EngineWork;
  isComputed: boolean;
}

/** A host that did not answer. Times in milliseconds. */
interface Suspicion {
  /** Monotonic time before which it is not asked. */
  readonly until: number;
  readonly duration: number;
}

/** Connects the policies of hosts that share engines. */
export class PlacementExchange {
  readonly #options: PlacementExchangeOptions;
  /** Host that places the region's work; undefined until the first check. */
  #placingHost: HostId | undefined;
  readonly #suspicions = new Map<HostId, Suspicion>();
  readonly #queries = new Map<RequestId, OpenQuery>();
  /** Limits of the queries that wait at this host. */
  readonly #heldTimers = new Set<ReturnType<typeof setTimeout>>();
  #unansweredQueries = 0;
  readonly #activeWork = new Map<EngineWork["id"], ActiveWork>();
  #unsent: (EngineWork | EngineWorkEnd)[] = [];
  #unforwarded: (EngineWork | EngineWorkEnd)[] = [];
  readonly #roundTrips = new Map<Region, number>();
  #firstProbe: ReturnType<typeof setTimeout> | undefined;

  constructor(options: PlacementExchangeOptions) {
    this.#options = options;
    this.#registerHandlers();
  }

  /** Starts to follow which host places the region's work. */
  start(): void {
    const { signal, transport } = this.#options;
    every(hostCheckInterval, () => this.#updatePlacingHost(), { signal });
    every(pathProbeInterval, () => void this.#probePaths(), { signal });
    this.#firstProbe = setTimeout(
      () => void this.#probePaths(),
      firstPathProbeDelay,
    );
    transport.onLink((change) => this.#handleLinkChange(change), { signal });
    signal.addEventListener("abort", () => this.#stop(), { once: true });
    this.#updatePlacingHost();
  }

  /** Executes an effect of the policy. */
  execute(effect: EngineWorkEffect): void {
    switch (effect.type) {
      case "announce_work":
        return this.#announce(effect.work, effect);
      case "announce_work_end":
        return this.#announceEnd(effect.end);
      case "request_placement":
        return this.#query(effect.query);
      case "answer_placement": {
        const { to, request, placement, works } = effect;
        const body = { request, placement };
        if (placement.type === "waiting") this.#limitHold(placement.limit);
        if (to === this.#options.host) this.#receiveAnswer(body, to);
        else this.#options.transport.send(answerMessage, { to, body });
        return this.#forward(works);
      }
      case "cancel_placement":
        return this.#cancel(effect.request);
    }
  }

  get #isLocal(): boolean {
    return this.#placingHost === undefined ||
      this.#placingHost === this.#options.host;
  }

  #registerHandlers(): void {
    const { transport, dispatcher } = this.#options;
    transport.onMessage(queryMessage, (query, { host: from }) => {
      dispatcher.notify({ type: "placement_requested", from, query });
    });
    transport.onMessage(cancelMessage, (request, { host: from }) => {
      dispatcher.notify({ type: "placement_cancelled", from, request });
    });
    transport.onMessage(answerMessage, (answer, { host }) => {
      this.#receiveAnswer(answer, host);
    });
    transport.onMessage(workMessage, ({ works, isForwarded }) => {
      for (const work of works) {
        dispatcher.notify(
          "ended" in work
            ? { type: "work_ended", end: work, isForwarded }
            : { type: "work_announced", work },
        );
      }
      if (!isForwarded) this.#forward(works);
    });
    transport.onRequest(pathProbe, () => null);
  }

  #announce(work: EngineWork, options: { readonly isPlaced: boolean }): void {
    this.#activeWork.set(work.id, { work, isComputed: false });
    if (!options.isPlaced) this.#share(work);
  }

  #announceEnd(end: EngineWorkEnd): void {
    const active = this.#activeWork.get(end.id);
    const isLast = end.ended === "answered" ||
      active?.work.answers === false;
    if (isLast) this.#activeWork.delete(end.id);
    else if (active !== undefined) active.isComputed = true;
    this.#share(end);
  }

  /** Tells the placing host, or the other regions if this host is it. */
  #share(work: EngineWork | EngineWorkEnd): void {
    if (this.#isLocal) return this.#forward([work]);
    this.#unsent.push(work);
    if (this.#unsent.length === 1) setImmediate(() => this.#sendWork());
  }

  #sendWork(): void {
    const works = this.#unsent.splice(0);
    const to = this.#placingHost;
    if (works.length === 0 || to === undefined) return;
    const body = { works, isForwarded: false };
    this.#options.transport.send(workMessage, { to, body });
  }

  /** Tells the hosts that place the work of the other regions. */
  #forward(works: readonly (EngineWork | EngineWorkEnd)[]): void {
    if (works.length === 0) return;
    if (this.#unforwarded.length === 0) {
      setTimeout(() => this.#sendForwarded(), forwardDelay);
    }
    this.#unforwarded.push(...works);
  }

  #sendForwarded(): void {
    const { transport, region, membership, signal } = this.#options;
    const body = { works: this.#unforwarded.splice(0), isForwarded: true };
    if (signal.aborted) return;
    const hosts = membership.listLiveHosts();
    const regions = new Set(hosts.map((record) => record.region));
    regions.delete(region);
    for (const other of regions) {
      const [to] = listPlacementHosts(hosts, other);
      if (to !== undefined) transport.send(workMessage, { to, body });
    }
  }

  #query(query: PlacementQuery): void {
    const { host: self, transport, dispatcher } = this.#options;
    const { request, customer } = query;
    const to = this.#placingHost;
    if (this.#isLocal && customer !== undefined) {
      const open: OpenQuery = { query, to: self, timer: undefined };
      this.#queries.set(request, open);
      this.#setTimer(open, queryTimeout);
      return dispatcher.notify({
        type: "placement_requested",
        from: self,
        query,
      });
    }
    const isSent = to !== undefined && !this.#isLocal &&
      transport.send(queryMessage, { to, body: query });
    const open: OpenQuery = {
      query,
      to: isSent ? to : undefined,
      timer: undefined,
    };
    this.#queries.set(request, open);
    this.#setTimer(open, isSent ? queryTimeout : 0);
  }

  #setTimer(open: OpenQuery, wait: number): void {
    clearTimeout(open.timer);
    open.timer = setTimeout(() => {
      const { to } = open;
      if (to !== undefined && to !== this.#options.host) {
        this.#countUnanswered(to);
      }
      this.#giveUp(open);
    }, wait);
  }

  /** Makes the policy choose the engines of a query's request itself. */
  #giveUp({ query: { request }, timer }: OpenQuery): void {
    clearTimeout(timer);
    if (!this.#queries.delete(request)) return;
    this.#options.dispatcher.notify({ type: "placement_unanswered", request });
  }

  #receiveAnswer({ request, placement }: AnswerMessage, host: HostId): void {
    const open = this.#queries.get(request);
    if (host === this.#placingHost) this.#unansweredQueries = 0;
    this.#suspicions.delete(host);
    if (placement.type === "waiting") {
      if (open?.to !== host) return;
      // Not held longer than its target allows, whatever the other host says.
      const limit = Math.min(
        placement.limit,
        open.query.firstTokenTarget * maxHoldFraction,
      );
      return this.#setTimer(open, limit + queryTimeout);
    }
    clearTimeout(open?.timer);
    this.#queries.delete(request);
    this.#options.dispatcher.notify({
      type: "placement_received",
      request,
      placement,
    });
  }

  /** Ends a query whose request has ended. */
  #cancel(request: RequestId): void {
    const { host: self, transport, dispatcher } = this.#options;
    const open = this.#queries.get(request);
    if (open === undefined) return;
    clearTimeout(open.timer);
    this.#queries.delete(request);
    const { to } = open;
    if (to === self) {
      dispatcher.notify({ type: "placement_cancelled", from: self, request });
    } else if (to !== undefined) {
      transport.send(cancelMessage, { to, body: request });
    }
  }

  /** Lets the policy end the hold of a query that waits at this host. */
  #limitHold(limit: number): void {
    const timer = setTimeout(() => {
      this.#heldTimers.delete(timer);
      this.#options.dispatcher.notify({ type: "placement_due" });
    }, limit);
    this.#heldTimers.add(timer);
  }

  #countUnanswered(host: HostId): void {
    if (host !== this.#placingHost) return;
    this.#unansweredQueries += 1;
    if (this.#unansweredQueries >= maxUnansweredQueries) this.#suspect(host);
  }

  #suspect(host: HostId): void {
    const { duration = minSuspicionTime / 2 } = this.#suspicions.get(host) ??
      {};
    const next = Math.min(maxSuspicionTime, duration * 2);
    const until = performance.now() + next;
    this.#suspicions.set(host, { until, duration: next });
    if (host === this.#placingHost) this.#updatePlacingHost();
  }

  #handleLinkChange({ kind, peer }: LinkChange): void {
    if (kind === "up") this.#suspicions.delete(peer.host);
    else this.#suspect(peer.host);
  }

  #updatePlacingHost(): void {
    const { host: self, region, membership, dispatcher } = this.#options;
    const now = performance.now();
    const placingHost = listPlacementHosts(membership.listLiveHosts(), region)
      .find((host) =>
        host === self || (this.#suspicions.get(host)?.until ?? 0) <= now
      ) ?? self;
    if (placingHost === this.#placingHost) return;
    this.#sendWork();
    this.#placingHost = placingHost;
    this.#unansweredQueries = 0;
    this.#options.onHostChange?.(placingHost);
    dispatcher.notify({
      type: "placement_host_changed",
      isRemote: placingHost !== self,
    });
    this.#announceActiveWork();
    // The answers of a host that places no longer may never come.
    for (const open of [...this.#queries.values()]) {
      if (open.query.customer !== undefined) this.#giveUp(open);
    }
  }

  /** Tells a new placing host of the work that this host has sent before. */
  #announceActiveWork(): void {
    if (this.#isLocal) return;
    for (const { work, isComputed } of this.#activeWork.values()) {
      this.#share(work);
      const { server, id } = work;
      if (isComputed) this.#share({ server, id, ended: "computed" });
    }
  }

  async #probePaths(): Promise<void> {
    const { region, membership } = this.#options;
    const hosts = membership.listLiveHosts();
    const regions = new Set(hosts.map((record) => record.region));
    regions.delete(region);
    await Promise.all([...regions].map((other) => {
      const [to] = listPlacementHosts(hosts, other);
      return to === undefined ? undefined : this.#probePath(other, to);
    }));
  }

  async #probePath(region: Region, to: HostId): Promise<void> {
    const { transport, dispatcher, signal } = this.#options;
    const startedAt = performance.now();
    try {
      await transport.request(pathProbe, {
        to,
        body: null,
        signal,
        timeout: pathProbeTimeout,
      });
    } catch {
      // The last measurement stays in use.
      return;
    }
    const measured = performance.now() - startedAt;
    const known = this.#roundTrips.get(region) ?? Infinity;
    const roundTrip = Math.min(measured, known * maxRoundTripGrowth);
    this.#roundTrips.set(region, roundTrip);
    dispatcher.notify({ type: "path_measured", region, roundTrip });
  }

  #stop(): void {
    clearTimeout(this.#firstProbe);
    for (const { timer } of this.#queries.values()) clearTimeout(timer);
    this.#queries.clear();
    for (const timer of this.#heldTimers) clearTimeout(timer);
    this.#heldTimers.clear();
  }
}
