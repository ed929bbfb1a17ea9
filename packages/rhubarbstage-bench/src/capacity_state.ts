/**
 * Cost of the settings tree, its confirmation, claims and the prefix map at
 * growing sizes.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type {
  AttemptId,
  BackendServerId,
  ClaimKey,
  CustomerId,
  EditId,
  HostId,
  Incarnation,
  Region,
  Revision,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import {
  controlQueries,
  ControlStateMachine,
  type JournalCommand,
  JournalStateMachine,
  type Tree,
} from "@rhubarbstage/control";
import { PrefixMap } from "@rhubarbstage/policy";
import { SettingsTree, type TreeDocument } from "@rhubarbstage/settings";
import { encode } from "@rhubarbstage/transport";
import type { CapacityFigure, Point } from "./capacity_figure.ts";
import { measureMemory } from "./capacity_memory.ts";

const teamCounts = [10, 100, 1_700];
const claimCounts = [1_000, 10_000, 100_000];
const prefixCounts = [1_000, 10_000, 100_000];
const lookUpCount = 20_000;

function makeTree(teams: number): TreeDocument {
  const names = Array.from({ length: teams }, (_, index) => `team-${index}`);
  const customers = names.map((name, index) =>
    [name, {
      share: 1 + index % 5,
      requests_per_second: 20,
      floor_requests_per_second: 1,
      api_key_hashes: [createHash("sha256").update(name).digest("hex")],
    }] as const
  );
  return {
    regions: {
      "*": {
        services: {
          chat: { type: "model", models: ["small"] },
          "*": { customers: Object.fromEntries(customers) },
        },
      },
    },
  };
}

/** Returns the mean time of a run in microseconds. */
function measureMicroseconds(
  count: number,
  run: (index: number) => void,
): number {
  const start = performance.now();
  for (let index = 0; index < count; index += 1) run(index);
  return (performance.now() - start) / count * 1_000;
}

function measureTree(): CapacityFigure[] {
  const memory: Point[] = [];
  const bytes: Point[] = [];
  const build: Point[] = [];
  const lookUp: Point[] = [];
  for (const teams of teamCounts) {
    const document = makeTree(teams);
    bytes.push({ x: teams, y: encode(document).length / 1_000 });
    const built = measureMemory(() => {
      const tree = new SettingsTree(makeTree(teams));
      for (let team = 0; team < teams; team += 1) {
        tree.resolveSettings(createPath(team));
      }
      return tree;
    });
    memory.push({ x: teams, y: built.bytes / 1_000_000 });
    const buildTime = measureMicroseconds(20, () => new SettingsTree(document));
    build.push({ x: teams, y: buildTime / 1_000 });
    const path = createPath(teams - 1);
    const time = measureMicroseconds(
      lookUpCount,
      () => built.value.resolveSettings(path),
    );
    lookUp.push({ x: teams, y: time });
  }
  const common = { size: "teams", target: 1_700 };
  return [
    { ...common, name: "tree as it is sent", unit: "KB", points: bytes },
    {
      ...common,
      name: "tree and look-up cache of one host",
      unit: "MB",
      points: memory,
      limit: 32,
    },
    { ...common, name: "taking a new tree", unit: "ms", points: build },
    { ...common, name: "settings of a request", unit: "µs", points: lookUp },
  ];
}

function createPath(team: number) {
  return {
    region: "lombardia" as Region,
    service: "chat" as ServiceName,
    customer: `team-${team}` as CustomerId,
    kind: "default" as WorkKind,
  };
}

/** Measures a confirmation after one edit, for growing edit histories. */
function measureConfirmation(): CapacityFigure[] {
  const size: Point[] = [];
  const time: Point[] = [];
  for (const edits of [100, 1_000, 10_000]) {
    const machine = new ControlStateMachine();
    const state = machine.initial();
    const root = makeTree(100) as unknown as Tree;
    for (let index = 0; index <= edits; index += 1) {
      const operation = index === 0
        ? { path: [], set: root }
        : { path: ["share"], set: index };
      const edit = {
        editId: `edit-${index}` as EditId,
        expectedRevision: state.revision as Revision,
        operations: [operation],
        author: "operator",
      };
      machine.apply(state, { type: "edit", edit, at: index }, index + 1);
    }
    const previousRevision = state.revision - 1;
    const confirm = () =>
      controlQueries.confirm(state, { revision: previousRevision });
    size.push({ x: edits, y: encode(confirm()).length });
    time.push({
      x: edits,
      y: measureMicroseconds(2_000, () => encode(confirm())),
    });
  }
  const common = { size: "edits in the history", target: 10_000 };
  return [
    {
      ...common,
      name: "answer to a confirmation with one edit",
      unit: "bytes",
      points: size,
    },
    {
      ...common,
      name: "processor time of a replica for a confirmation",
      unit: "µs",
      points: time,
    },
  ];
}

function makeClaim(index: number): Extract<JournalCommand, { type: "claim" }> {
  return {
    type: "claim",
    key: createHash("sha256").update(`key-${index}`).digest("hex") as ClaimKey,
    attempt: `attempt-${index}` as AttemptId,
    bodyHash: createHash("sha256").update(`body-${index}`).digest("hex"),
    claimer: { host: "entry-1" as HostId, incarnation: 1 as Incarnation },
    now: index,
  };
}

function runClaims(machine: JournalStateMachine, count: number) {
  const state = machine.initial();
  const body = new Uint8Array(200);
  for (let index = 0; index < count; index += 1) {
    const claim = makeClaim(index);
    machine.apply(state, claim);
    const answer = { status: 200, headers: {}, body, digest: claim.bodyHash };
    const { key, attempt, claimer, now } = claim;
    const settle = { type: "settle", key, attempt, claimer, now } as const;
    machine.apply(state, { ...settle, answer });
  }
  return state;
}

function measureClaims(): CapacityFigure[] {
  const memory: Point[] = [];
  const time: Point[] = [];
  const machine = new JournalStateMachine();
  for (const count of claimCounts) {
    const start = performance.now();
    const { bytes } = measureMemory(() => runClaims(machine, count));
    time.push({ x: count, y: (performance.now() - start) / count * 1_000 });
    memory.push({ x: count, y: bytes / 1_000_000 });
  }
  const common = { size: "settled claims of a group", target: 1_000_000 };
  return [
    {
      ...common,
      name: "claims of one journal group with answers of 200 bytes",
      unit: "MB",
      points: memory,
    },
    {
      ...common,
      name: "making, applying and settling one claim",
      unit: "µs",
      points: time,
    },
  ];
}

function measurePrefixes(): CapacityFigure[] {
  const points = prefixCounts.map((count) => {
    const { bytes } = measureMemory(() => {
      const map = new PrefixMap(count, 600_000);
      for (let index = 0; index < count; index += 1) {
        const server = `engine-${index % 1_800}` as BackendServerId;
        map.store(server, [`prefix-${index}`], 0);
      }
      return map;
    });
    return { x: count, y: bytes / 1_000_000 };
  });
  return [{
    name: "prefix map of one host",
    unit: "MB",
    size: "prefixes of 1,000 tokens",
    points,
    target: 100_000,
    limit: 32,
  }];
}

/** Measures the state that hosts and replicas store. */
export function measureState(): CapacityFigure[] {
  return [
    ...measureTree(),
    ...measureConfirmation(),
    ...measureClaims(),
    ...measurePrefixes(),
  ];
}
