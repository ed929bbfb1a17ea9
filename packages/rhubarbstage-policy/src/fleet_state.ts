/**
 * State of the fleet policy.
 *
 * @module
 */

import type {
  AttemptId,
  AvailabilityZone,
  BackendServerId,
  Incarnation,
  ModelName,
  Region,
  RequestId,
  SoftwareVersion,
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
import { PartQuarantine } from "./part_quarantine.ts";
import { Quarantine } from "./quarantine.ts";
import { AttemptBudget, RetryBudgets } from "./retry_budget.ts";
import { RequestLimits } from "./request_limits.ts";
import { RolePlanner } from "./roles.ts";
import type { RoutingView } from "./routing.ts";
import {
  isAvailable,
  type Pool,
  type ServerEntry,
  ServerTable,
} from "./server_table.ts";
import { RequestCosts } from "./request_cost.ts";
import { SharedFigures } from "./shared_figures.ts";
import { ServerNotices } from "./server_notices.ts";
import { SlowServerDetector } from "./slow_servers.ts";
import {
  type AnswerOrigin,
  type BackendServer,
  type EngineWork,
  type EngineWorkEnd,
  type ModelDemand,
  type PolicyEffect,
  type PolicyEvent,
  sharedPartsOf,
  type Work,
} from "./types.ts";
import type { PlacementCompetition } from "./placement_competition.ts";
import { type WorkEstimate, WorkEstimates } from "./work_estimates.ts";

/** Costs before any observation, in milliseconds and in tokens. */
const initialRunTime = 50;
const initialOutputTokens = 200;
/** Regions from which servers are sampled; deployments have three. */
const sampledRegions = 3;
/** Time constant for the slot time of dispatched work, in milliseconds. */
const servedTimeConstant = 2_000;
/** Time constant for actual over predicted waits, in milliseconds. */
const waitTimeConstant = 4_000;

/** Options of a fleet policy. */
export interface FleetOptions {
  /** Region of the host that runs the policy. */
  readonly region: Region;
  /** Availability zone of the host, if distance within the region counts. */
  readonly availabilityZone?: AvailabilityZone;
  /** Random seed; should differ between hosts. */
  readonly seed?: number;
  /** Number of hosts sharing the servers, used until gossip reports it. */
  readonly hosts?: number;
  /** Index of this host among them, from 0. */
  readonly position?: number;
  /** Fleet-wide settings that differ from the defaults. */
  readonly settings?: Partial<FleetSettings>;
}

/**
 * Queue lane with its own head: `retry` holds work that failed or may crash
 * servers, even if long.
 */
export type Lane = "short" | "long" | "retry";

/** State of a request from arrival to end. */
export interface RequestRecord {
  readonly work: Work;
  readonly pool: PoolState;
  readonly estimate: WorkEstimate;
  readonly long: boolean;
  readonly attempts: Map<AttemptId, Attempt>;
  /** Servers on which the request failed. */
  readonly failedOn: Set<BackendServerId>;
  /** Where its answer began; undefined before its first token. */
  answerOrigin: AnswerOrigin | undefined;
  /** Tokens of ended attempts delivered to the caller. */
  deliveredTokens: number;
  /** Tokens charged to the customer's limit. */
  chargedTokens: number;
  /**
   * Milliseconds predicted at arrival; 0 if a slot was free and no work ahead.
   */
  uncorrectedWait: number;
  lane: Lane | undefined;
  queuedAt: number;
  preemptions: number;
  /** Number of dispatches from the queue, without hedges and moves. */
  queueDispatches: number;
  /** Attempts that may have reached a server, including hedges and moves. */
  starts: number;
  entitledByFloor: boolean;
  /** Whether this host places it, because a placement query failed. */
  isPlacedLocally: boolean;
  /** Whether it will be refused unless its crash is explained until then. */
  isRefusalDue: boolean;
}

/** One run of a request on a server. */
export interface Attempt {
  readonly id: AttemptId;
  readonly record: RequestRecord;
  readonly entry: ServerEntry;
  readonly incarnation: Incarnation;
  readonly softwareVersion: SoftwareVersion | undefined;
  readonly prefill: ServerEntry | undefined;
  readonly startedAt: number;
  readonly uncachedTokens: number;
  readonly expectedFirstToken: number;
  /** Rank in engine queues, 0 first. */
  readonly rank: number;
  /** Whether another host chose the engines. */
  readonly isPlacedRemotely: boolean;
  /** Prompt queued on the engine that computes it, until it ends. */
  promptWork: EngineWork | undefined;
  /** Stream on the engine that generates the answer, until it ends. */
  answerWork: EngineWork | undefined;
  /** Expected time of prompt work ahead on the computing engine. */
  readonly expectedWait: number;
  readonly resumeFrom: number;
  readonly suspect: boolean;
  /** Whether the server was probably full, so that the request queues on it. */
  readonly queuedOnServer: boolean;
  /** Expected prefill time still counted on the computing server. */
  pendingPrefillTime: number;
  /** Whether it counts as long work on its server. */
  countedLong: boolean;
  /** Time at which the prompt was computed. */
  computedAt: number | undefined;
  /** Milliseconds from the computed prompt to the first token. */
  fixedTime: number | undefined;
  firstTokenAt: number | undefined;
  generatedTokens: number;
  /** Tokens and start of the current speed-measurement window. */
  windowTokens: number;
  windowAt: number;
  /** Token interval in the last window, relative to that of the pool. */
  lastTokenIntervalRatio: number;
}

/** Queues, estimates and running work of one pool. */
export interface PoolState {
  readonly pool: Pool;
  readonly model: ModelName | undefined;
  readonly lanes: Readonly<Record<Lane, FairQueue>>;
  readonly estimates: WorkEstimates;
  readonly slowServers: SlowServerDetector;
  readonly speed: EngineSpeed;
  /** Output tokens of streams or run times of plain calls, by route. */
  readonly costs: RequestCosts;
  /** Actual over predicted waits, without waits predicted to be 0. */
  readonly waitCorrection: DecayedRatio;
  /** Estimated slot time of recently dispatched work, by priority. */
  readonly slotTimeByPriority: Map<number, DecayedSum>;
  /** Running work that may be preempted, by priority. */
  readonly preemptible: Map<number, Set<RequestRecord>>;
}

interface Timer<Subject> {
  readonly at: number;
  readonly subject: Subject;
}

/** Refusal of a request. */
export type Refusal = Extract<PolicyEffect, { type: "refuse" }>;

/** Refusal of a request whose attempt crashed a server. */
interface DelayedRefusal {
  readonly refusal: Refusal;
  readonly record: RequestRecord;
  readonly failure: Extract<PolicyEvent, { type: "failed" }>;
}

/** State of the fleet policy of one host. */
export interface FleetState {
  settings: FleetSettings;
  readonly region: Region;
  readonly availabilityZone: AvailabilityZone | undefined;
  /** Whether a server has stated its pace since the start. */
  isPaceReported: boolean;
  /** Observations of this host that it shares with the others. */
  readonly figures: SharedFigures;
  readonly random: SeededRandom;
  readonly table: ServerTable;
  readonly poolStates: Map<string, PoolState>;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly attemptsByServer: Map<BackendServerId, Set<Attempt>>;
  /** Running streams that reached the slow token interval. */
  readonly slowStreams: Set<Attempt>;
  readonly limits: CustomerLimits;
  readonly retries: RetryBudgets;
  /** Budget of hedged and moved requests. */
  readonly hedgeBudget: AttemptBudget;
  readonly prefixes: PrefixMap;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  readonly requestLimits: RequestLimits;
  readonly serverNotices: ServerNotices;
  readonly roles: RolePlanner;
  /** Demand of each pool when hosts share engine state. */
  readonly engineDemand: Map<string, EngineDemand>;
  readonly roundTrips: Map<Region, number>;
  /** Whether another host places the work of this host's region. */
  isPlacementRemote: boolean;
  /** Requests that wait for an answer to their placement query. */
  readonly placing: Map<RequestId, RequestRecord>;
  /** Competition for engines by pool, if customers are identified. */
  readonly competitions: Map<string, PlacementCompetition>;
  /** Ends of local engine work to announce to other hosts after this event. */
  readonly endedWork: EngineWorkEnd[];
  readonly deadlines: TinyQueue<Timer<RequestRecord>>;
  readonly hedges: TinyQueue<Timer<Attempt>>;
  /** Refusals delayed until marks of their requests have reached all hosts. */
  readonly refusals: TinyQueue<Timer<DelayedRefusal>>;
  modelDemand: ReadonlyMap<ModelName, ModelDemand>;
  localModelDemand: ReadonlyMap<ModelName, ModelDemand>;
  holdsRoleAuthority: boolean;
  publishedAt: number;
  partMarksPublishedAt: number;
  rolesDecidedAt: number;
  attemptCount: number;
}

function newTimerQueue<Subject>(): TinyQueue<Timer<Subject>> {
  return new TinyQueue<Timer<Subject>>(
    [],
    (left, right) => left.at - right.at,
  );
}

/** Creates the state before the first event. */
export function createFleetState(options: FleetOptions): FleetState {
  const settings = { ...defaultFleetSettings, ...options.settings };
  const table = new ServerTable(tableOptions(settings));
  const hosts = options.hosts ?? 1;
  table.setHosts(hosts, options.position ?? 0);
  const random = new SeededRandom(options.seed ?? 1);
  const state: FleetState = {
    settings,
    region: options.region,
    availabilityZone: options.availabilityZone,
    isPaceReported: false,
    figures: new SharedFigures(),
    random,
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
    partQuarantine: new PartQuarantine(settings.partQuarantinePeriod),
    requestLimits: new RequestLimits(
      random,
      (server) => requestLimitShare(state, server),
    ),
    serverNotices: new ServerNotices(settings.maxServerPause),
    roles: new RolePlanner(),
    engineDemand: new Map(),
    roundTrips: new Map(),
    isPlacementRemote: false,
    placing: new Map(),
    competitions: new Map(),
    endedWork: [],
    deadlines: newTimerQueue(),
    hedges: newTimerQueue(),
    refusals: newTimerQueue(),
    modelDemand: new Map(),
    localModelDemand: new Map(),
    holdsRoleAuthority: false,
    publishedAt: 0,
    partMarksPublishedAt: 0,
    rolesDecidedAt: 0,
    attemptCount: 0,
  };
  return state;
}

/**
 * Returns this host's part of the requests that a server takes from all hosts.
 * The parts of engines go to the hosts that place the regions' work, most to the
 * server's own region.
 */
function requestLimitShare(state: FleetState, server: BackendServer): number {
  const isShared = state.settings.shareEngineState && server.models.length > 0;
  if (!isShared || state.isPlacementRemote) return 1 / state.limits.hosts;
  const regions = new Set([...state.roundTrips.keys(), state.region]);
  if (regions.size === 1) return 1;
  return server.region === state.region
    ? ownRegionShare
    : (1 - ownRegionShare) / (regions.size - 1);
}

/** Whether a request would probably crash the server that runs it. */
export function isQuarantined(
  state: FleetState,
  work: Work,
  now: number,
): boolean {
  if (state.quarantine.isBlocked(work.fingerprint, now)) return true;
  const parts = sharedPartsOf(work).map(({ id }) => id);
  return state.partQuarantine.isBlocked(parts, now);
}

/**
 * Returns the time until a pool's servers take one more request than waits for
 * them; 0 if the servers are chosen elsewhere or one of them has no limit.
 */
export function requestLimitWait(
  state: FleetState,
  { pool, model, lanes }: PoolState,
  now: number,
): number {
  const isShared = state.settings.shareEngineState && model !== undefined;
  if (isShared && state.isPlacementRemote) return 0;
  const { short, long, retry } = lanes;
  const waiting = short.size + long.size + retry.size;
  return state.requestLimits.waitTime(availableServers(pool), waiting, now);
}

/**
 * Returns the time until one of a pool's servers takes requests from this host
 * again; 0 if one does, or if none will.
 */
export function serverPause(
  state: FleetState,
  { pool }: PoolState,
  now: number,
): number {
  const { serverNotices } = state;
  if (serverNotices.isEmpty) return 0;
  let shortest = Infinity;
  for (const server of availableServers(pool)) {
    shortest = Math.min(shortest, serverNotices.waitTime(server, now));
    if (shortest === 0) return 0;
  }
  return Number.isFinite(shortest) ? shortest : 0;
}

function* availableServers(pool: Pool): Generator<BackendServer> {
  for (const entry of pool.members.values()) {
    if (isAvailable(entry)) yield entry.server;
  }
}

/** Part of a server's request limit that its own region gets. */
const ownRegionShare = 0.8;

function tableOptions(settings: FleetSettings) {
  return {
    oversubscriptionFactor: settings.oversubscriptionFactor,
    sampled: settings.sampledServersPerRegion * sampledRegions,
    shareEngineState: settings.shareEngineState,
  };
}

/**
 * Applies changed settings. The size of the prefix map and the time to live of
 * its hints keep their initial values.
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
  state.partQuarantine.configure(settings.partQuarantinePeriod);
  state.serverNotices.configure(settings.maxServerPause);
  applyBudgetLimits(state);
  for (const pool of state.poolStates.values()) {
    pool.slowServers.configure({ threshold, probeInterval });
  }
}

/** Returns the state of the pool, creating it on first use. */
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
        retry: new FairQueue(),
      },
      estimates: new WorkEstimates(),
      slowServers: new SlowServerDetector({
        threshold: slowThreshold,
        probeInterval,
      }),
      speed: new EngineSpeed(),
      costs: new RequestCosts(
        model === undefined ? initialRunTime : initialOutputTokens,
      ),
      waitCorrection: new DecayedRatio(1, waitTimeConstant),
      slotTimeByPriority: new Map(),
      preemptible: new Map(),
    };
    state.poolStates.set(pool.name, found);
  }
  return found;
}

/** Records the estimated slot time of work under its priority. */
export function recordSlotTime(
  pool: PoolState,
  served: { readonly priority: number; readonly cost: number },
  now: number,
): void {
  let sum = pool.slotTimeByPriority.get(served.priority);
  if (sum === undefined) {
    sum = new DecayedSum(servedTimeConstant);
    pool.slotTimeByPriority.set(served.priority, sum);
  }
  sum.add(served.cost, now);
}

/**
 * Returns the average number of slots taken by recently dispatched work of
 * higher priorities.
 */
export function slotsUsedAbovePriority(
  pool: PoolState,
  priority: number,
  now: number,
): number {
  let slots = 0;
  for (const [other, sum] of pool.slotTimeByPriority) {
    if (other > priority) slots += sum.value(now) / servedTimeConstant;
  }
  return slots;
}

/**
 * Whether servers are chosen by their remaining work. Once a server has stated
 * its pace this stays so, because the choice would alternate otherwise.
 */
export function routesByRemainingWork(
  { settings, isPaceReported }: FleetState,
): boolean {
  const { routeByRemainingWork: setting } = settings;
  return setting === "automatic" ? isPaceReported : setting;
}

/** Builds the input of routing for one pool. */
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
    costs: pool.costs,
    byRemainingWork: routesByRemainingWork(state),
    attempts: state.attemptsByServer,
    zone: state.availabilityZone,
    prefixes: state.prefixes,
    roundTrips: state.roundTrips,
    random: state.random,
    requestLimits: state.requestLimits,
    serverNotices: state.serverNotices,
    settings: state.settings,
    region: state.region,
    now,
  };
}

/**
 * Divides the retry and hedge bursts evenly among the hosts, so that their sum
 * stays within the settings without coordination per request.
 */
export function applyBudgetLimits(state: FleetState): void {
  const { retryBurst, hedgeBurst } = state.settings;
  const { hosts } = state.limits;
  state.retries.setCapacity(retryBurst / hosts);
  state.hedgeBudget.setCapacity(hedgeBurst / hosts);
}
