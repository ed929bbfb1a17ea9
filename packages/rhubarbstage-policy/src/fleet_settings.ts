/**
 * Settings of the fleet policy that hold for all customers.
 *
 * @module
 */

/** How the fleet policy decides; times in milliseconds. */
export interface FleetSettings {
  /** Most requests that wait on one host. */
  readonly queueLimit: number;
  /** First-token targets that a request may be predicted to need. */
  readonly admissionTargetFactor: number;
  /** Slots that hosts together may use, over the capacity of the servers. */
  readonly oversubscriptionFactor: number;
  /** Slots over capacity, in parts of it, for work with bought priority. */
  readonly priorityOvercommit: number;
  /** Estimated cost, in typical costs of the pool, from which work is long. */
  readonly longCostFactor: number;
  /** Long requests of this host on one server at the same time. */
  readonly maxLongRequestsPerServer: number;
  /** Part of a server's slots that long work leaves free. */
  readonly reservedCapacityFraction: number;
  /** Wait after which long work goes before short work. */
  readonly longRequestAgeingDelay: number;
  /** How often one request may be preempted. */
  readonly preemptionLimit: number;
  /** Added to the cost of a server in another region, for the paid path. */
  readonly crossRegionPenalty: number;
  /** Servers drawn at random from each region for one decision. */
  readonly sampledServersPerRegion: number;
  /** Among how many of the best servers the choice is random. */
  readonly bestServers: number;
  /** Most prefixes that are remembered. */
  readonly prefixEntries: number;
  /**
   * Whether hosts tell each other what they send to engines, so that each one
   * knows the queue and the cache of every engine.
   */
  readonly shareEngineState: boolean;
  /** Age at which a hint about a cached prefix is no longer used. */
  readonly prefixTimeToLive: number;
  /** Latency, in that of the peers, from which a server counts as slow. */
  readonly slowThreshold: number;
  /** A slowed server gets one request at least this often, if there is one. */
  readonly probeInterval: number;
  /** Retries that one customer may have at once on all hosts together. */
  readonly retryBurst: number;
  /** Hedged and moved requests that may run at once on all hosts together. */
  readonly hedgeBurst: number;
  /** Hedged and moved requests for each dispatched one. */
  readonly hedgeRatio: number;
  /** Wait for the first token before a hedge, in expected waits. */
  readonly hedgeDelayFactor: number;
  /** How long a fingerprint stays suspected or refused. */
  readonly quarantinePeriod: number;
  /** Time in which marks reach all hosts. */
  readonly quarantinePropagationTime: number;
  /** Fixed cost of exporting and importing KV cache. */
  readonly kvFixedCost: number;
  /** Cost of moving the KV cache of one token inside a region. */
  readonly kvCostPerToken: number;
  /** Cost of moving KV cache between regions, in that inside a region. */
  readonly kvCrossRegionFactor: number;
  /** Saved prefill time from which a move pays, in costs of the move. */
  readonly kvBreakEven: number;
  /** Fewest engines of each role in a pool that is split. */
  readonly roleFloor: number;
  /** Most engines of a pool that change their role at the same time. */
  readonly maxConcurrentRoleChanges: number;
  /** Time for which an engine is unavailable when it changes its role. */
  readonly roleChangeCost: number;
  /** Time for which a new mix is expected to last. */
  readonly roleHorizon: number;
  /** Shortest time between two role changes of an engine. */
  readonly roleChangeCooldown: number;
  /** Time for which a better split must stay better. */
  readonly roleStabilisationWindow: number;
}
