/**
 * Backend servers between the HTTP interface, membership and the policy.
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

/** A server as membership last reported it. */
interface SeenServer {
  readonly record: ServerRecord;
  readonly load?: ServerLoad;
  readonly usable: boolean;
}

/** Takes announcements and tells the policy which servers take work. */
export class BackendRegistry extends BackendServers {
  #settings: Pick<ActiveSettings, "ready" | "configuration"> | undefined;
  #cacheTokensOf:
    | ((record: ServerRecord) => number | undefined)
    | undefined;
  #seen = new Map<BackendServerId, SeenServer>();
  #cacheSequences = new Map<BackendServerId, number>();
  #membership: Membership | undefined;
  #dispatcher: Dispatcher | undefined;

  constructor(
    options: {
      /** Memory of an engine for prompts, in tokens, where it is known. */
      readonly cacheTokensOf?: (record: ServerRecord) => number | undefined;
      /** Tells which servers an operator has drained; none when absent. */
      readonly settings?: Pick<ActiveSettings, "ready" | "configuration">;
    } = {},
  ) {
    super();
    this.#settings = options.settings;
    this.#cacheTokensOf = options.cacheTokensOf;
  }

  /** Connects the parts, which refer to each other; called once. */
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
      toRecord(announcement),
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
    const seen = this.#seen.get(server);
    return seen === undefined
      ? undefined
      : { id: server, url: seen.record.address };
  }

  override takesNewWork(server: BackendServerId): boolean {
    const seen = this.#seen.get(server);
    return seen !== undefined && this.#acceptsNewWork(seen);
  }

  /** Record of a server, if it is known. */
  recordOf(server: BackendServerId): ServerRecord | undefined {
    return this.#seen.get(server)?.record;
  }

  /** Records of all servers that are known. */
  records(): readonly ServerRecord[] {
    return [...this.#seen.values()].map(({ record }) => record);
  }

  /** Membership saw a server or a change of it. */
  updateServer(seen: SeenServer): void {
    this.#seen.set(seen.record.id, seen);
    this.#tell(seen);
  }

  /** Takes the load that a server told with an answer. */
  updateLoad(id: BackendServerId, load: ServerLoad): void {
    const seen = this.#seen.get(id);
    if (seen === undefined) return;
    const updated = { ...seen, load };
    this.#seen.set(id, updated);
    this.#tell(updated);
  }

  /** Tells the policy of one server again, after it has answered a check. */
  refreshServer(id: BackendServerId): void {
    const seen = this.#seen.get(id);
    if (seen !== undefined) this.#tell(seen);
  }

  /** Membership lost a server. */
  removeServer(
    id: BackendServerId,
    options: { readonly crashed: boolean },
  ): void {
    const { crashed } = options;
    this.#seen.delete(id);
    this.#cacheSequences.delete(id);
    this.#dispatcher?.notify({ type: "server_gone", server: id, crashed });
  }

  /** Membership heard of cache events. */
  applyCacheChange(change: CacheChange): void {
    const { id, incarnation, stored, evicted, gap } = change;
    if (this.#seen.get(id)?.record.incarnation !== incarnation) return;
    this.#dispatcher?.notify({
      type: "cache_changed",
      server: id,
      stored,
      evicted,
      gap,
    });
  }

  /** Tells the policy of all servers again, after drains have changed. */
  refresh(): void {
    for (const seen of this.#seen.values()) this.#tell(seen);
  }

  /** Whether an operator has drained a server. */
  isDrained(server: BackendServerId): boolean {
    if (this.#settings?.ready !== true) return false;
    return this.#settings.configuration.drains.has(server);
  }

  #memoryOf(record: ServerRecord): { readonly cacheTokens?: number } {
    const cacheTokens = this.#cacheTokensOf?.(record);
    return cacheTokens === undefined ? {} : { cacheTokens };
  }

  #acceptsNewWork({ record, usable }: SeenServer): boolean {
    return usable && record.state === "serving" && !this.isDrained(record.id);
  }

  #tell(seen: SeenServer): void {
    const { record, load } = seen;
    const { id, incarnation, region, availabilityZone } = record;
    const { models, services, role, capacity } = record;
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
        ...this.#memoryOf(record),
        acceptsNewWork: this.#acceptsNewWork(seen),
        load,
      },
    });
  }
}

function toRecord(announcement: Announcement): ServerRecord {
  const { id, incarnation, sequence, url, region } = announcement;
  const { availabilityZone, models, services, role } = announcement;
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
    capacity: announcement.capacity,
    honoursFencing: announcement.fencing === "checked",
    state: announcement.state,
    leaving: announcement.leaving,
    loaded: announcement.adapters,
  };
}
