/**
 * Selection of the hosts that a host gossips with.
 *
 * @module
 */

import type { HostId } from "rhubarbstage";
import {
  gossipFanout,
  neighbourCount,
  regionalNeighbourCount,
  registrarNeighbourLimit,
} from "./constants.ts";
import { hashText } from "rhubarbstage";
import { findHostRecord, isAlive, type MembershipState } from "./state.ts";
import type { HostRecord } from "./types.ts";

function isCandidate(
  state: MembershipState,
  host: HostId,
  now: number,
): boolean {
  if (host === state.self.host) return false;
  const log = state.logs.get(host);
  return log === undefined || isAlive(state, log, now);
}

function listCandidates(state: MembershipState, now: number): HostRecord[] {
  const hosts = new Set<HostId>([
    ...state.seeds.map((seed) => seed.host),
    ...state.logs.keys(),
  ]);
  const records: HostRecord[] = [];
  for (const host of hosts) {
    const record = findHostRecord(state, host);
    if (record !== undefined && isCandidate(state, host, now)) {
      records.push(record);
    }
  }
  return records;
}

/**
 * Selects this host's neighbours by the hash of each pair of hosts and adds
 * hosts that state that they are registrars. The links form a random graph of
 * bounded out-degree, in which a change reaches all hosts in logarithmically
 * many rounds.
 */
export function selectNeighbours(
  state: MembershipState,
  now: number,
): HostRecord[] {
  const { self } = state;
  const ranked = listCandidates(state, now)
    .map((record) => {
      const [low, high] = [self.host, record.host].sort();
      return { record, rank: hashText(`${low}\n${high}`) };
    })
    .sort((left, right) => left.rank - right.rank)
    .map(({ record }) => record);
  const regional = ranked
    .filter((record) => record.region === self.region)
    .slice(0, regionalNeighbourCount);
  const others = ranked.filter((record) => !regional.includes(record));
  const selected = [
    ...regional,
    ...others.slice(0, neighbourCount - regional.length),
  ];
  const registrars = ranked
    .filter((record) => record.registrar === true)
    .slice(0, registrarNeighbourLimit);
  return [...new Set([...selected, ...registrars])];
}

/**
 * Picks the targets of one round: random neighbours and, on average in one of
 * four rounds, an unreachable seed, so that a partitioned system merges again.
 */
export function pickGossipTargets(
  state: MembershipState,
  now: number,
): HostId[] {
  const pool = [...state.neighbours];
  const targets: HostId[] = [];
  while (targets.length < gossipFanout && pool.length > 0) {
    const index = state.random.integer(pool.length);
    targets.push(...pool.splice(index, 1));
  }
  const unreachableSeeds = state.seeds.filter((seed) => {
    if (seed.host === state.self.host) return false;
    const log = state.logs.get(seed.host);
    return log === undefined || !isAlive(state, log, now);
  });
  if (unreachableSeeds.length > 0 && state.random.integer(4) === 0) {
    const { host } = state.random.pick(unreachableSeeds);
    if (!targets.includes(host)) targets.push(host);
  }
  return targets;
}
