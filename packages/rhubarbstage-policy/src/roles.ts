/**
 * Split of a pool's engines between prefill and decode.
 *
 * @module
 */

import type { BackendServerId, ModelName, Region } from "rhubarbstage";
import type { FleetSettings } from "./fleet_settings.ts";
import type { EngineRole } from "./types.ts";

/** Engine state that role decisions use. */
export interface RoleEngine {
  readonly id: BackendServerId;
  readonly role: EngineRole;
  /** The region with the most engines of a role gives them up first. */
  readonly region?: Region;
  /**
   * Requests on the engine: of this host when hosts share engine state,
   * otherwise estimated over all hosts.
   */
  readonly outstanding: number;
}

/** Work offered to a pool, as the number of engines that it keeps busy. */
export interface RoleDemand {
  readonly prefillEngines: number;
  readonly decodeEngines: number;
}

/** One change of role. */
export interface RoleChange {
  readonly server: BackendServerId;
  readonly role: EngineRole;
}

interface PendingChange {
  readonly role: EngineRole;
  readonly at: number;
}

interface PoolRoles {
  /** Time since which `betterRole` has been the better choice. */
  betterSince: number | undefined;
  betterRole: EngineRole | undefined;
  readonly changing: Map<BackendServerId, PendingChange>;
  readonly changedAt: Map<BackendServerId, number>;
}

/** Utilisation of a role's engines from which a change may pay. */
const busyFraction = 0.7;
/**
 * Fraction of a pool's engines that may change their role at the same time, and
 * by which splits are compared, so that a large pool follows a shift of the mix
 * as fast as a small one.
 */
const maxChangingFraction = 1 / 16;
/** A new split must carry at least this many times the current one's work. */
const minImprovementFactor = 1.1;
/** A change counts as lost after this many times its expected duration. */
const lostChangeFactor = 3;

/** Engines of a pool that may change their role at the same time. */
export function roleChangeStep(size: number): number {
  return Math.max(1, Math.floor(size * maxChangingFraction));
}

/** Capacity of a split as a multiple of the offered work. */
function capacityRatio(
  demand: RoleDemand,
  split: { readonly prefill: number; readonly decode: number },
): number {
  const prefill = demand.prefillEngines > 0
    ? split.prefill / demand.prefillEngines
    : Infinity;
  const decode = demand.decodeEngines > 0
    ? split.decode / demand.decodeEngines
    : Infinity;
  return Math.min(prefill, decode);
}

/**
 * Decides on role changes while this host has the role authority; without it
 * the current split stays.
 */
export class RolePlanner {
  #pools = new Map<ModelName, PoolRoles>();

  /** Decides which changes to order now for one pool. */
  decide(
    pool: {
      readonly model: ModelName;
      readonly engines: readonly RoleEngine[];
      readonly demand: RoleDemand;
    },
    settings: FleetSettings,
    now: number,
  ): RoleChange[] {
    const state = this.#poolRoles(pool.model);
    this.#settleChanges(state, pool.engines, settings, now);
    const role = this.#betterRole(state, pool, settings);
    if (role === undefined || role !== state.betterRole) {
      state.betterRole = role;
      state.betterSince = now;
    }
    if (role === undefined) return [];
    if (now - (state.betterSince ?? now) < settings.roleStabilisationWindow) {
      return [];
    }
    if (state.changing.size >= settings.maxConcurrentRoleChanges) return [];
    const engine = this.#chooseEngine(state, pool.engines, {
      role,
      settings,
      now,
    });
    if (engine === undefined) return [];
    state.changing.set(engine.id, { role, at: now });
    state.changedAt.set(engine.id, now);
    return [{ server: engine.id, role }];
  }

  #poolRoles(model: ModelName): PoolRoles {
    let state = this.#pools.get(model);
    if (state === undefined) {
      state = {
        betterSince: undefined,
        betterRole: undefined,
        changing: new Map(),
        changedAt: new Map(),
      };
      this.#pools.set(model, state);
    }
    return state;
  }

  #settleChanges(
    state: PoolRoles,
    engines: readonly RoleEngine[],
    settings: FleetSettings,
    now: number,
  ): void {
    const roles = new Map(engines.map((engine) => [engine.id, engine.role]));
    const lostAfter = settings.roleChangeCost * lostChangeFactor;
    for (const [id, change] of state.changing) {
      const done = roles.get(id) === change.role;
      // Until the engine reports the new role, the change is pending.
      if (done || now - change.at > lostAfter) state.changing.delete(id);
    }
  }

  /** Returns the role that one more engine should have, if any. */
  #betterRole(
    state: PoolRoles,
    pool: {
      readonly engines: readonly RoleEngine[];
      readonly demand: RoleDemand;
    },
    settings: FleetSettings,
  ): EngineRole | undefined {
    const { demand } = pool;
    const roles = pool.engines.map((engine) =>
      state.changing.get(engine.id)?.role ?? engine.role
    );
    const prefill = roles.filter((role) => role === "prefill").length;
    const decode = roles.filter((role) => role === "decode").length;
    if (prefill + decode < 2) return undefined;
    const before = capacityRatio(demand, { prefill, decode });
    if (before > 1 / busyFraction) return undefined;
    const step = roleChangeStep(prefill + decode);
    const withMorePrefill = capacityRatio(demand, {
      prefill: prefill + step,
      decode: decode - step,
    });
    const withFewerPrefill = capacityRatio(demand, {
      prefill: prefill - step,
      decode: decode + step,
    });
    const role = withMorePrefill > withFewerPrefill ? "prefill" : "decode";
    const after = Math.max(withMorePrefill, withFewerPrefill);
    if (after < before * minImprovementFactor) return undefined;
    const shrinking = role === "prefill" ? decode : prefill;
    if (shrinking <= settings.roleFloor) return undefined;
    const offered = demand.prefillEngines + demand.decodeEngines;
    const gain = (after - before) * offered * settings.roleHorizon;
    return gain > settings.roleChangeCost ? role : undefined;
  }

  #chooseEngine(
    state: PoolRoles,
    engines: readonly RoleEngine[],
    options: {
      readonly role: EngineRole;
      readonly settings: FleetSettings;
      readonly now: number;
    },
  ): RoleEngine | undefined {
    const { role, settings, now } = options;
    const donors = engines.filter((engine) => {
      const next = state.changing.get(engine.id)?.role ?? engine.role;
      return next !== role && next !== "mixed";
    });
    const sameRegionCount = (engine: RoleEngine) =>
      donors.filter(({ region }) => region === engine.region).length;
    const [best] = donors
      .filter((engine) => {
        if (state.changing.has(engine.id)) return false;
        // Without an engine of each role, a region's KV cache leaves the region.
        if (engine.region !== undefined && sameRegionCount(engine) < 2) {
          return false;
        }
        const changedAt = state.changedAt.get(engine.id) ?? -Infinity;
        return now - changedAt >= settings.roleChangeCooldown;
      })
      .toSorted((left, right) =>
        sameRegionCount(right) - sameRegionCount(left) ||
        left.outstanding - right.outstanding
      );
    return best;
  }
}
