/**
 * Registry of backend servers, between the HTTP interface, membership and the
 * policy.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";
import {
  type AnnouncementResponse,
  BackendServers,
  type Dispatcher,
} from "@rhubarbstage/gateway/dispatch";
import type {
  Announcement,
  BackendServerAddress,
  CacheEvents,
  Departure,
} from "@rhubarbstage/engine";
import {
  type CacheChange,
  type Membership,
  membershipConstants,
  type ServerLoad,
  type ServerRecord,
} from "@rhubarbstage/membership";
import type { ActiveSettings } from "./active_settings.ts";

/** Record and load of a server as last reported. */
interface RegisteredServer {
  readonly record: ServerRecord;
  readonly load?: ServerLoad;
  /** Whether membership allows new work for the server. */
  readonly usable: boolean;
}

/** Passes announcements to membership and reported servers to the policy. */
export class BackendRegistry extends BackendServers {
  #settings: Pick<ActiveSettings, "ready" | "configuration"> | undefined;
  #cacheTokensOf:
    | ((record: ServerRecord) => number | undefined)
    | undefined;
  #servers = new Map<BackendServerId, RegisteredServer>();
  #cacheSequences = new Map<BackendServerId, number>();
  #membership: Membership | undefined;
  #dispatcher: Dispatcher | undefined;

  constructor(
    options: {
      /** Returns an engine's KV cache capacity in tokens, where it is known. */
      readonly cacheTokensOf?: (record: ServerRecord) => number | undefined;
      /** Source of the servers drained by operators; none if absent. */
      readonly settings?: Pick<ActiveSettings, "ready" | "configuration">;
    } = {},
  ) {
    super();
    this.#settings = options.settings;
    this.#cacheTokensOf = options.cacheTokensOf;
  }

  /** Sets the components that depend on this registry; called once. */
  connect(parts: {
    readonly membership: Membership;
    readonly dispatcher: Dispatcher;
  }): void {
    this.#membership = parts.membership;
    this.#dispatcher = parts.dispatcher;
  }

  override handleAnnouncement(
    announcement: Announcement,
  ): AnnouncementResponse {
    const { load } = announcement;
    const owner = this.#membership?.handleAnnouncement(
      toServerRecord(announcement),
      load,
    );
    return {
      renewAfter: membershipConstants.renewInterval,
      renewAt: owner?.httpAddress,
    };
  }

  override handleDeparture(departure: Departure): void {
    this.#membership?.handleDeparture(departure.id, departure.incarnation);
  }

  override applyCacheEvents(events: CacheEvents): void {
    const { id, incarnation, sequence, stored, evicted } = events;
    const expected = this.#cacheSequences.get(id);
    const gap = expected !== undefined && expected !== sequence;
    this.#cacheSequences.set(id, sequence + stored.length + evicted.length);
    const change = { id, incarnation, stored, evicted, gap };
    this.#membership?.handleCacheChange(change);
  }

  override addressOf(
    server: BackendServerId,
  ): BackendServerAddress | undefined {
    const registered = this.#servers.get(server);
    return registered === undefined ? undefined : {
      id: server,
      url: registered.record.address,
      incarnation: registered.record.incarnation,
    };
  }

  override acceptsNewWork(server: BackendServerId): boolean {
    const registered = this.#servers.get(server);
    return registered !== undefined && this.#acceptsNewWork(registered);
  }

  /** Returns the record of a server; undefined if unknown. */
  recordOf(server: BackendServerId): ServerRecord | undefined {
    return this.#servers.get(server)?.record;
  }

  /** Returns the records of all known servers. */
  records(): readonly ServerRecord[] {
    return [...this.#servers.values()].map(({ record }) => record);
  }

  /** Handles a new or changed server reported by membership. */
  updateServer(server: RegisteredServer): void {
    this.#servers.set(server.record.id, server);
    this.#notifyPolicy(server);
  }

  /** Updates the load that a server reported with a response. */
  updateLoad(id: BackendServerId, load: ServerLoad): void {
    const server = this.#servers.get(id);
    if (server === undefined) return;
    const updated = { ...server, load };
    this.#servers.set(id, updated);
    this.#notifyPolicy(updated);
  }

  /** Notifies the policy of one server again, after a passed check. */
  refreshServer(id: BackendServerId): void {
    const server = this.#servers.get(id);
    if (server !== undefined) this.#notifyPolicy(server);
  }

  /** Removes a server and notifies the policy. */
  removeServer(
    id: BackendServerId,
    options: { readonly crashed: boolean },
  ): void {
    const { crashed } = options;
    this.#servers.delete(id);
    this.#cacheSequences.delete(id);
    this.#dispatcher?.notify({ type: "server_gone", server: id, crashed });
  }

  /** Reports a cache change of the current process to the policy. */
  applyCacheChange(change: CacheChange): void {
    const { id, incarnation, stored, evicted, gap } = change;
    if (this.#servers.get(id)?.record.incarnation !== incarnation) return;
    this.#dispatcher?.notify({
      type: "cache_changed",
      server: id,
      stored,
      evicted,
      gap,
    });
  }

  /** Notifies the policy of all servers again, after settings have changed. */
  refresh(): void {
    for (const server of this.#servers.values()) this.#notifyPolicy(server);
  }

  /** Whether an operator has drained a server. */
  isDrained(server: BackendServerId): boolean {
    if (this.#settings?.ready !== true) return false;
    return this.#settings.configuration.drains.has(server);
  }

  #cacheCapacityOf(record: ServerRecord): { readonly cacheTokens?: number } {
    const cacheTokens = this.#cacheTokensOf?.(record);
    return cacheTokens === undefined ? {} : { cacheTokens };
  }

  #acceptsNewWork({ record, usable }: RegisteredServer): boolean {
    return usable && record.state === "serving" && !this.isDrained(record.id);
  }

  #notifyPolicy(server: RegisteredServer): void {
    const { record, load } = server;
    const { id, incarnation, region, availabilityZone } = record;
    const { models, services, role, capacity, softwareVersion } = record;
    this.#dispatcher?.notify({
      type: "server_seen",
      server: {
        id,
        incarnation,
        region,
        availabilityZone,
        models,
        services,
        role,
        capacity,
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
        ...this.#cacheCapacityOf(record),
        acceptsNewWork: this.#acceptsNewWork(server),
        load,
      },
    });
  }
}

function toServerRecord(announcement: Announcement): ServerRecord {
  const { id, incarnation, sequence, url, region } = announcement;
  const { availabilityZone, models, services, role, softwareVersion } =
    announcement;
  return {
    id,
    incarnation,
    sequence,
    takeover: 0,
    address: url,
    region,
    availabilityZone,
    models,
    services,
    role,
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
    capacity: announcement.capacity,
    honoursFencing: announcement.fencing === "checked",
    state: announcement.state,
    leaving: announcement.leaving,
    loaded: announcement.adapters,
  };
}
