/**
 * Split of shared engines between prefill and decode. The deciding host serves
 * no requests itself; it uses the total demand that all hosts report.
 *
 * @module
 */

import type { FleetState } from "./fleet_state.ts";
import { type RoleChange, roleChangeStep, type RoleDemand } from "./roles.ts";
import type { Pool, ServerEntry } from "./server_table.ts";
import type { ModelDemand } from "./types.ts";
import type { ModelName, Region } from "rhubarbstage";

/**
 * Prefill's part of a pool's work before any demand was observed. Prompts are
 * computed one at a time and answers in large batches, so that a prompt token
 * needs far more engine time than an output token.
 */
const initialPrefillFraction = 0.6;
/** Engine time for an uncached prompt token until hosts measured it, in ms. */
const initialPromptTokenTime = 0.035;
/** Time between tokens of a stream until hosts measured it, in milliseconds. */
const initialTokenInterval = 8;
/**
 * Assumed batch size of a decode engine, as a fraction of its slots: larger
 * ones raise throughput, but also the time between tokens.
 */
const moderateBatchFraction = 0.25;
/**
 * Time constant of demand, in milliseconds: several times a short swing in
 * the prompt/answer mix, because a role change makes an engine unavailable for
 * seconds.
 */
const averagingTimeConstant = 20_000;
/** Fraction of engines kept busy below which a pool counts as idle. */
const idleFraction = 0.05;

/** Exponentially averaged demand of a pool. */
export class EngineDemand {
  #prefillFraction = initialPrefillFraction;
  #busyEngines = 0;
  #at: number | undefined;

  /** Adds a sample of the current demand of all hosts. */
  observe(
    demand: ModelDemand,
    options: { readonly slots: number; readonly now: number },
  ): void {
    const { slots, now } = options;
    const promptTime = demand.promptTimePerSecond ||
      demand.promptTokensPerSecond * initialPromptTokenTime;
    const streamTime = demand.streamTimePerSecond ||
      demand.outputTokensPerSecond * initialTokenInterval;
    const batch = Math.max(1, slots * moderateBatchFraction);
    const prefillEngines = promptTime / 1_000;
    const decodeEngines = streamTime / 1_000 / batch;
    const engines = prefillEngines + decodeEngines;
    const elapsed = this.#at === undefined ? 0 : now - this.#at;
    this.#at = now;
    if (engines <= 0) return;
    const weight = 1 - Math.exp(-elapsed / averagingTimeConstant);
    this.#busyEngines += (engines - this.#busyEngines) * weight;
    this.#prefillFraction +=
      (prefillEngines / engines - this.#prefillFraction) * weight;
  }

  /** Engines that each role would keep busy if the pool were exactly full. */
  enginesPerRole(size: number): RoleDemand {
    return {
      prefillEngines: size * this.#prefillFraction,
      decodeEngines: size * (1 - this.#prefillFraction),
    };
  }

  /** Whether demand keeps less than `idleFraction` of the pool's engines busy. */
  isIdle(size: number): boolean {
    return this.#busyEngines < size * idleFraction;
  }
}

/** Decides role changes of pools that have a prefill engine. */
export function decideSharedRoles(
  state: FleetState,
  now: number,
): RoleChange[] {
  const changes: RoleChange[] = [];
  for (const pool of state.table.pools.values()) {
    const members = [...pool.members.values()];
    if (!members.some(({ server }) => server.role === "prefill")) continue;
    changes.push(...decidePoolRoles(state, { pool, members }, now));
  }
  return changes;
}

function decidePoolRoles(
  state: FleetState,
  engines: { readonly pool: Pool; readonly members: readonly ServerEntry[] },
  now: number,
): RoleChange[] {
  const { pool, members } = engines;
  const model = pool.name as ModelName;
  const engineDemand = state.engineDemand.get(pool.name) ?? new EngineDemand();
  state.engineDemand.set(pool.name, engineDemand);
  const size = members.length;
  const offered = state.modelDemand.get(members[0]?.server.models[0] ?? model);
  if (offered !== undefined && state.settings.rolesFollowDemand) {
    engineDemand.observe(offered, { slots: pool.capacity / size, now });
  }
  const regions = new Set(members.map(({ server }) => server.region));
  const isIdle = engineDemand.isIdle(size);
  return state.roles.decide(
    {
      model,
      engines: members.map(({ server, localAttempts: own }) => ({
        id: server.id,
        role: server.role,
        region: server.region,
        outstanding: own,
      })),
      demand: engineDemand.enginesPerRole(size),
    },
    {
      ...state.settings,
      roleFloor: roleFloor(size, regions),
      // In an idle pool all engines may change at the same time.
      maxConcurrentRoleChanges: isIdle ? size : Math.max(
        state.settings.maxConcurrentRoleChanges,
        roleChangeStep(size),
      ),
    },
    now,
  );
}

/** One engine of each role for each region, if the pool is large enough. */
function roleFloor(size: number, regions: ReadonlySet<Region>): number {
  return Math.max(1, Math.min(regions.size, Math.floor(size / 3)));
}
