/**
 * Split of engines between prompts and answers where hosts share the engines.
 * The host that decides serves no requests itself; it knows what all hosts
 * together send.
 *
 * @module
 */

import type { FleetState } from "./fleet_state.ts";
import type { RoleChange, RoleDemand } from "./roles.ts";
import type { Pool, ServerEntry } from "./server_table.ts";
import type { ModelDemand } from "./types.ts";
import type { ModelName, Region } from "rhubarbstage";

/**
 * Part of a pool's work that is prompts before any work was seen. Prompts are
 * computed one after the other, answers are generated in large batches, so that
 * the same number of tokens takes far more engines as a prompt.
 */
const initialPromptPart = 0.6;
/** Engines' time for one uncached token of a prompt, in milliseconds. */
const promptTokenTime = 0.035;
/** Time between two tokens of a stream in a moderate batch, in milliseconds. */
const answerTokenTime = 8;
/**
 * Part of an engine's slots that streams may fill: a fuller batch generates
 * more tokens, but each stream gets them later.
 */
const moderateBatch = 0.25;
/**
 * Time over which demand is averaged, in milliseconds: several times a swing of
 * the mix, because a change of role takes an engine away for seconds.
 */
const demandMemory = 20_000;
/** Part of a pool's engines that work keeps busy below which it is idle. */
const idlePool = 0.05;

/** Demand of a pool, averaged over a long time. */
export class EngineDemand {
  #promptPart = initialPromptPart;
  #engines = 0;
  #at: number | undefined;

  /** Takes what all hosts together send now. */
  observe(
    demand: ModelDemand,
    options: { readonly slots: number; readonly now: number },
  ): void {
    const { slots, now } = options;
    const prompts = demand.promptTokensPerSecond / 1_000 * promptTokenTime;
    const answers = demand.outputTokensPerSecond / 1_000 * answerTokenTime /
      Math.max(1, slots * moderateBatch);
    const engines = prompts + answers;
    const elapsed = this.#at === undefined ? 0 : now - this.#at;
    this.#at = now;
    if (engines <= 0) return;
    const weight = 1 - Math.exp(-elapsed / demandMemory);
    this.#engines += (engines - this.#engines) * weight;
    this.#promptPart += (prompts / engines - this.#promptPart) * weight;
  }

  /** Engines that each role would keep busy, were the pool just full. */
  enginesPerRole(size: number): RoleDemand {
    return {
      prefillEngines: size * this.#promptPart,
      decodeEngines: size * (1 - this.#promptPart),
    };
  }

  /** Whether next to nothing is sent to a pool of this size. */
  isIdle(size: number): boolean {
    return this.#engines < size * idlePool;
  }
}

/** Changes of role to order now. */
export function decideSharedRoles(
  state: FleetState,
  now: number,
): RoleChange[] {
  const changes: RoleChange[] = [];
  for (const pool of state.table.pools.values()) {
    const members = [...pool.members.values()];
    if (!members.some(({ server }) => server.role === "prefill")) continue;
    changes.push(...decidePool(state, { pool, members }, now));
  }
  return changes;
}

function decidePool(
  state: FleetState,
  engines: { readonly pool: Pool; readonly members: readonly ServerEntry[] },
  now: number,
): RoleChange[] {
  const { pool, members } = engines;
  const model = pool.name as ModelName;
  const demand = state.engineDemand.get(pool.name) ?? new EngineDemand();
  state.engineDemand.set(pool.name, demand);
  const size = members.length;
  const sent = state.modelDemand.get(members[0]?.server.models[0] ?? model);
  if (sent !== undefined) {
    demand.observe(sent, { slots: pool.capacity / size, now });
  }
  const regions = new Set(members.map(({ server }) => server.region));
  const isIdle = demand.isIdle(size);
  return state.roles.decide(
    {
      model,
      engines: members.map(({ server, localAttempts: own }) => ({
        id: server.id,
        role: server.role,
        region: server.region,
        outstanding: own,
      })),
      demand: demand.enginesPerRole(size),
    },
    {
      ...state.settings,
      roleFloor: roleFloor(size, regions),
      // Nobody misses engines of an idle pool.
      maxConcurrentRoleChanges: isIdle
        ? size
        : state.settings.maxConcurrentRoleChanges,
    },
    now,
  );
}

/** An engine of each role for each region, where there are enough. */
function roleFloor(size: number, regions: ReadonlySet<Region>): number {
  return Math.max(1, Math.min(regions.size, Math.floor(size / 3)));
}
