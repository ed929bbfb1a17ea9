/**
 * Settings of the fleet policy that apply to all customers.
 *
 * @module
 */

/** Fleet-wide settings; times in milliseconds. */
export interface FleetSettings {
  /** Maximum number of queued and running requests on one host. */
  readonly queueLimit: number;
  /** Maximum predicted time to first token, as a multiple of the target. */
  readonly admissionTargetFactor: number;
  /** Slots usable by all hosts together, as a multiple of server capacity. */
  readonly oversubscriptionFactor: number;
  /**
   * Extra slots for work with paid priority or below its floor, as a fraction of
   * capacity.
   */
  readonly priorityOvercommit: number;
  /** Multiple of the pool's typical cost above which work counts as long. */
  readonly longCostFactor: number;
  /** Maximum concurrent long requests of this host on one server. */
  readonly maxLongRequestsPerServer: number;
  /** Fraction of a server's slots that long work must leave free. */
  readonly reservedCapacityFraction: number;
  /** Queueing time after which long work is served before short work. */
  readonly longRequestAgeingDelay: number;
  /** Maximum preemptions of one request. */
  readonly preemptionLimit: number;
  /** Cost added for a server in another region, whose traffic is billed. */
  readonly crossRegionPenalty: number;
  /**
   * Cost added for a server in another availability zone of the host's region,
   * whose traffic is billed; only where `routeByRemainingWork` applies.
   */
  readonly crossZonePenalty: number;
  /**
   * Whether servers are chosen by the likely cost of the request and the work
   * that each server still has to do. `automatic` begins with the first load
   * report that states a pace and does not end while the process runs.
   */
  readonly routeByRemainingWork: boolean | "automatic";
  /** Servers sampled at random from each region for one decision. */
  readonly sampledServersPerRegion: number;
  /** Number of best servers among which the choice is random. */
  readonly bestServers: number;
  /** Maximum number of remembered prefixes. */
  readonly prefixEntries: number;
  /**
   * Whether hosts share engines through one placing host of each region, which
   * tracks the queue and the cache of every engine.
   */
  readonly shareEngineState: boolean;
  /** Age at which a cached-prefix hint expires. */
  readonly prefixTimeToLive: number;
  /** Multiple of its peers' latency from which a server counts as slow. */
  readonly slowThreshold: number;
  /** Maximum time between requests to a slow server, if any arrive. */
  readonly probeInterval: number;
  /** Burst of retries of one customer over all hosts. */
  readonly retryBurst: number;
  /** Burst of hedged and moved requests over all hosts. */
  readonly hedgeBurst: number;
  /** Hedged and moved requests allowed per dispatched request. */
  readonly hedgeRatio: number;
  /** Wait for the first token before hedging, as a multiple of the expected. */
  readonly hedgeDelayFactor: number;
  /** Time for which a fingerprint stays suspected or refused. */
  readonly quarantinePeriod: number;
  /** Time in which marks reach all hosts. */
  readonly quarantinePropagationTime: number;
  /** Time for which a prompt part that crashed servers stays refused. */
  readonly partQuarantinePeriod: number;
  /** Longest pause that a server gets when it asks for one. */
  readonly maxServerPause: number;
  /** Fixed cost of exporting and importing KV cache. */
  readonly kvFixedCost: number;
  /** Cost of moving the KV cache of one token within a region. */
  readonly kvCostPerToken: number;
  /** Cost of moving KV cache across regions, relative to within a region. */
  readonly kvCrossRegionFactor: number;
  /** Minimum saved prefill time for a move, as a multiple of its cost. */
  readonly kvBreakEven: number;
  /**
   * Whether requests of identified customers compete for the slots of a region's
   * engines; otherwise they are placed in order of arrival.
   */
  readonly customersCompete: boolean;
  /**
   * Whether placing hosts state for how long a prompt token occupies an engine, so
   * that each host can measure the engine time of its demand.
   */
  readonly shareComputeTime: boolean;
  /**
   * Whether the split of shared engines follows the demand. Otherwise a pool keeps
   * its initial split.
   */
  readonly rolesFollowDemand: boolean;
  /** Minimum engines of each role in a pool split into prefill and decode. */
  readonly roleFloor: number;
  /** Maximum number of engines of a pool that change role concurrently. */
  readonly maxConcurrentRoleChanges: number;
  /** Time for which an engine is unavailable while changing role. */
  readonly roleChangeCost: number;
  /** Time for which a changed workload mix is expected to last. */
  readonly roleHorizon: number;
  /** Minimum time between two role changes of an engine. */
  readonly roleChangeCooldown: number;
  /** Time for which a better role split must persist before it is applied. */
  readonly roleStabilisationWindow: number;
}
