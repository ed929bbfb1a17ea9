/**
 * State of the fleet policy.
 *
 * @module
 */

import type {
  AttemptId,
  BackendServerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
} from "rhubarbstage";
import { SeededRandom } from "rhubarbstage";
import TinyQueue from "tinyqueue";
import { defaultFleetSettings } from "./constants.ts";
import { CustomerLimits } from "./customer_limits.ts";
import { DecayedRatio, DecayedSum } from "./decayed.ts";
import type { EngineDemand } from "./engine_roles.ts";
import { EngineSpeed } from "./engine_speed.ts";
import { FairQueue } from "./fair_queue.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { PrefixMap } from "./prefix_map.ts";
import { Quarantine } from "./quarantine.ts";
import { AttemptBudget, RetryBudgets } from "./retry_budget.ts";
import { RoleSplit } from "./roles.ts";
import type { RoutingView } from "./routing.ts";
import { type Pool, type ServerEntry, ServerTable } from "./server_table.ts";
import { SlowServerDetector } from "./slow_servers.ts";
import type {
  EngineWork,
  EngineWorkEnd,
  ModelDemand,
  PolicyEffect,
  Work,
} from "./types.ts";
import { type WorkEstimate, WorkEstimates } from "./work_estimates.ts";

/** Servers are drawn from each region; deployments have three. */
const regionsOfSamples = 3;
/** Time over which the slots of higher priorities are averaged. */
const servedMemory = 2_000;
/** Time over which predicted waits are compared with real ones. */
const waitMemory = 4_000;

/** Options of a fleet policy. */
export interface FleetOptions {
  /** Region of the host that runs the policy. */
  readonly region: Region;
  /** Seed of random choices; hosts should differ. */
  readonly seed?: number;
  /** Hosts that share the servers, until gossip tells. */
  readonly hosts?: number;
  /** Place of this host among them, from 0. */
  readonly position?: number;
  /** Fleet-wide settings that differ from the defaults. */
  readonly settings?: Partial<FleetSettings>;
}

/** Lanes of a pool's queue; each lane has its own head. */
export type Lane = "short" | "long" | "confined";

/** One request from its arrival to its end. */
export interface RequestRecord {
  readonly work: Work;
  readonly pool: PoolState;
  readonly estimate: WorkEstimate;
  readonly long: boolean;
  readonly attempts: Map<AttemptId, Attempt>;
  /** Servers on which it failed. */
  readonly failedOn: Set<BackendServerId>;
  /** Tokens of ended attempts that the caller has. */
  deliveredTokens: number;
  /** Tokens charged to the customer's limit. */
  chargedTokens: number;
  /** Predicted wait without correction, in milliseconds. */
  predictedWait: number;
  lane: Lane | undefined;
  queuedAt: number;
  preemptions: number;
  tries: number;
  /** Servers on which it was started, hedges and moves included. */
  starts: number;
  entitledByFloor: boolean;
}

/** One run of a request on a server. */
export interface Attempt {
  readonly id: AttemptId;
  readonly record: RequestRecord;
  readonly entry: ServerEntry;
  readonly incarnation: Incarnation;
  readonly prefill: ServerEntry | undefined;
  readonly startedAt: number;
  readonly uncachedTokens: number;
  readonly expectedFirstToken: number;
  /** Rank in the queues of engines, 0 first. */
  readonly rank: number;
  /** Prompt in the queue of the computing engine, until it has ended. */
  promptWork: EngineWork | undefined;
  /** Stream on the answering engine, until it has ended. */
  answerWork: EngineWork | undefined;
  /** Prompt work that the computing engine was expected to do first. */
  readonly expectedWait: number;
  readonly resumeFrom: number;
  readonly suspect: boolean;
  /** Whether the server was probably full, so that the engine queues. */
  readonly queuedOnServer: boolean;
  /** Expected prompt time that is still counted on the server. */
  pendingPrefillTime: number;
  /** Whether it is counted among the long work of its server. */
  countedLong: boolean;
  /** When a prefill engine had computed the prompt. */
  computedAt: number | undefined;
  firstTokenAt: number | undefined;
  generatedTokens: number;
  /** Tokens and start of the window over which speed is measured. */
  windowTokens: number;
  windowAt: number;
  /** Time between tokens in the last window, in that of the pool. */
  lastTokenIntervalRatio: number;
}

/** What the policy keeps for each pool. */
export interface PoolState {
  readonly pool: Pool;
  readonly model: ModelName | undefined;
  readonly lanes: Readonly<Record<Lane, FairQueue>>;
  readonly estimates: WorkEstimates;
  readonly slowServers: SlowServerDetector;
  readonly speed: EngineSpeed;
  /** Real over predicted waits of requests that found no room. */
  readonly waitCorrection: DecayedRatio;
  /** Slot time given to each priority in the recent past. */
  readonly served: Map<number, DecayedSum>;
  /** Running work that may be preempted, by priority. */
  readonly preemptible: Map<number, Set<RequestRecord>>;
}

interface Timer<Subject> {
  readonly at: number;
  readonly subject: Subject;
}

/** An answer that waits until marks of the request have spread. */
export type DelayedRefusal = Extract<PolicyEffect, { type: "refuse" }>;

/** State of the fleet policy of one host. */
export interface FleetState {
  settings: FleetSettings;
  readonly region: Region;
  readonly random: SeededRandom;
  readonly table: ServerTable;
  readonly poolStates: Map<string, PoolState>;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly attemptsByServer: Map<BackendServerId, Set<Attempt>>;
  /** Running streams whose own tokens are late. */
  readonly slowStreams: Set<Attempt>;
  readonly limits: CustomerLimits;
  readonly retries: RetryBudgets;
  /** Budget of hedged and moved requests. */
  readonly hedgeBudget: AttemptBudget;
  readonly prefixes: PrefixMap;
  readonly quarantine: Quarantine;
  readonly roles: RoleSplit;
  /** Demand of each pool of engines that hosts share. */
  readonly engineDemand: Map<string, EngineDemand>;
  readonly roundTrips: Map<Region, number>;
  /** Own prompt work that has ended since the last event, for other hosts. */
  readonly endedWork: EngineWorkEnd[];
  readonly deadlines: TinyQueue<Timer<RequestRecord>>;
  readonly hedges: TinyQueue<Timer<Attempt>>;
  readonly refusals: TinyQueue<Timer<DelayedRefusal>>;
  modelDemand: ReadonlyMap<ModelName, ModelDemand>;
  ownModelDemand: ReadonlyMap<ModelName, ModelDemand>;
  holdsRoleAuthority: boolean;
  publishedAt: number;
  rolesDecidedAt: number;
  attemptCount: number;
}

function newTimers<Subject>(): TinyQueue<Timer<Subject>> {
  return new TinyQueue<Timer<Subject>>(
    [],
    (left, right) => left.at - right.at,
  );
}

/** State before the first event. */
export function createFleetState(options: FleetOptions): FleetState {
  const settings = { ...defaultFleetSettings, ...options.settings };
  const table = new ServerTable(tableOptions(settings));
  const hosts = options.hosts ?? 1;
  table.setHosts(hosts, options.position ?? 0);
  return {
    settings,
    region: options.region,
    random: new SeededRandom(options.seed ?? 1),
    table,
    poolStates: new Map(),
    requests: new Map(),
    attemptsByServer: new Map(),
    slowStreams: new Set(),
    limits: new CustomerLimits(hosts),
    retries: new RetryBudgets(),
    hedgeBudget: new AttemptBudget(),
    prefixes: new PrefixMap(settings.prefixEntries, settings.prefixTimeToLive),
    quarantine: new Quarantine(settings.quarantinePeriod),
    roles: new RoleSplit(),
    engineDemand: new Map(),
    roundTrips: new Map(),
    endedWork: [],
    deadlines: newTimers(),
    hedges: newTimers(),
    refusals: newTimers(),
    modelDemand: new Map(),
    ownModelDemand: new Map(),
    holdsRoleAuthority: false,
    publishedAt: 0,
    rolesDecidedAt: 0,
    attemptCount: 0,
  };
}

function tableOptions(settings: FleetSettings) {
  return {
    oversubscriptionFactor: settings.oversubscriptionFactor,
    sampled: settings.sampledServersPerRegion * regionsOfSamples,
    freshReports: settings.shareEngineState,
  };
}

/**
 * Takes changed settings. The size of the prefix map and the life of its hints
 * stay as they were at the start.
 */
export function applySettings(
  state: FleetState,
  changes: Partial<FleetSettings>,
): void {
  const settings = { ...defaultFleetSettings, ...changes };
  const { slowThreshold: threshold, probeInterval } = settings;
  state.settings = settings;
  state.table.configure(tableOptions(settings));
  state.quarantine.configure(settings.quarantinePeriod);
  boundBudgets(state);
  for (const pool of state.poolStates.values()) {
    pool.slowServers.configure({ threshold, probeInterval });
  }
}

/** State of the pool with this name, created on first use. */
export function poolStateOf(
  state: FleetState,
  pool: Pool,
  model: ModelName | undefined,
): PoolState {
  let found = state.poolStates.get(pool.name);
  if (found === undefined) {
    const { slowThreshold, probeInterval } = state.settings;
    found = {
      pool,
      model,
      lanes: {
        short: new FairQueue(),
        long: new FairQueue(),
        confined: new FairQueue(),
      },
      estimates: new WorkEstimates(),
      slowServers: new SlowServerDetector({
        threshold: slowThreshold,
        probeInterval,
      }),
      speed: new EngineSpeed(),
      waitCorrection: new DecayedRatio(1, waitMemory),
      served: new Map(),
      preemptible: new Map(),
    };
    state.poolStates.set(pool.name, found);
  }
  return found;
}

/** Counts slot time that a priority gets. */
export function addServed(
  pool: PoolState,
  served: { readonly priority: number; readonly cost: number },
  now: number,
): void {
  let sum = pool.served.get(served.priority);
  if (sum === undefined) {
    sum = new DecayedSum(servedMemory);
    pool.served.set(served.priority, sum);
  }
  sum.add(served.cost, now);
}

/** Slots that priorities above a given one have used in the recent past. */
export function slotsAbove(
  pool: PoolState,
  priority: number,
  now: number,
): number {
  let slots = 0;
  for (const [other, sum] of pool.served) {
    if (other > priority) slots += sum.value(now) / servedMemory;
  }
  return slots;
}

/** What routing reads for one pool. */
export function routingView(
  state: FleetState,
  pool: PoolState,
  now: number,
): RoutingView {
  return {
    table: state.table,
    pool: pool.pool,
    estimates: pool.estimates,
    slowServers: pool.slowServers,
    prefixes: state.prefixes,
    roundTrips: state.roundTrips,
    random: state.random,
    settings: state.settings,
    region: state.region,
    now,
  };
}

/**
 * Divides the bursts of retries and hedges evenly among the hosts, so that the
 * sum over all hosts keeps to them without a call for each request.
 */
export function boundBudgets(state: FleetState): void {
  const { retryBurst, hedgeBurst } = state.settings;
  const { hosts } = state.limits;
  state.retries.bound(retryBurst / hosts);
  state.hedgeBudget.bound(hedgeBurst / hosts);
}
