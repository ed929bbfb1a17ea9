/**
 * Loads and checks the tree of settings.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { maxCustomers, wildcardName } from "./constants.ts";
import { SettingsError, type SettingsProblem } from "./errors.ts";
import { treeSchema } from "./tree_schema.ts";
import type { ServiceBranch, TreeDocument } from "./types.ts";
import {
  createProblem,
  findProblems,
  type SettingsOrigin,
} from "./validation.ts";
import { parseYaml } from "./yaml_source.ts";

/** A service branch with its place in the tree. */
interface PlacedService {
  readonly path: readonly string[];
  readonly region: string;
  readonly service: string;
  readonly branch: ServiceBranch;
}

function* listServices(tree: TreeDocument): Generator<PlacedService> {
  for (const [region, regionBranch] of Object.entries(tree.regions ?? {})) {
    const services = Object.entries(regionBranch.services ?? {});
    for (const [service, branch] of services) {
      const path = ["regions", region, "services", service];
      yield { path, region, service, branch };
    }
  }
}

function* findServiceProblems(
  tree: TreeDocument,
  source: SettingsOrigin,
): Generator<SettingsProblem> {
  const services = [...listServices(tree)];
  const typed = new Set(
    services.filter(({ branch }) => branch.type !== undefined)
      .flatMap(({ region, service }) => [`${region}/${service}`, service]),
  );
  for (const { path, region, service, branch } of services) {
    if (service === wildcardName) {
      for (const key of ["type", "models", "routes"] as const) {
        if (branch[key] === undefined) continue;
        yield createProblem(source, [...path, key], {
          value: branch[key],
          allowed: 'no such key on the service "*"',
        });
      }
      continue;
    }
    const hasType = region === wildcardName
      ? typed.has(service)
      : typed.has(`${region}/${service}`) || typed.has(`*/${service}`);
    if (!hasType) {
      yield createProblem(source, [...path, "type"], {
        allowed: "model, plain",
      });
    }
  }
}

/** Services with models as one region sees them; a region's own list wins. */
function listModelOwners(
  services: readonly PlacedService[],
  region: string,
): PlacedService[] {
  const owners = new Map<string, PlacedService>();
  for (const scope of [wildcardName, region]) {
    for (const placed of services) {
      const isOwner = placed.region === scope &&
        placed.branch.models !== undefined;
      if (isOwner) owners.set(placed.service, placed);
    }
  }
  return [...owners.values()];
}

/** A caller names only the model, so that one service per region may have it. */
function* findModelProblems(
  tree: TreeDocument,
  source: SettingsOrigin,
): Generator<SettingsProblem> {
  const services = [...listServices(tree)];
  const reported = new Set<string>();
  for (
    const region of new Set([wildcardName, ...Object.keys(tree.regions ?? {})])
  ) {
    const owners = new Map<string, string>();
    for (const { path, service, branch } of listModelOwners(services, region)) {
      for (const [index, model] of (branch.models ?? []).entries()) {
        const owner = owners.get(model);
        owners.set(model, service);
        const place = [...path, "models", index];
        const key = place.join("/");
        if (owner === undefined || reported.has(key)) continue;
        reported.add(key);
        yield createProblem(source, place, {
          value: model,
          allowed: `a model that is listed once; ${owner} has it already`,
        });
      }
    }
  }
}

/** Each API key belongs to one customer, or a caller would be ambiguous. */
function* findCustomerProblems(
  tree: TreeDocument,
  source: SettingsOrigin,
): Generator<SettingsProblem> {
  const owners = new Map<string, string>();
  const names = new Set<string>();
  for (const { path, branch } of listServices(tree)) {
    for (const [customer, fields] of Object.entries(branch.customers ?? {})) {
      names.add(customer);
      const hashes = fields.api_key_hashes ?? [];
      const place = [...path, "customers", customer, "api_key_hashes"];
      if (customer === wildcardName && hashes.length > 0) {
        yield createProblem(source, place, {
          value: hashes,
          allowed: 'no such key on the customer "*"',
        });
      }
      for (const [index, hash] of hashes.entries()) {
        const owner = owners.get(hash);
        owners.set(hash, customer);
        if (owner === undefined || owner === customer) continue;
        yield createProblem(source, [...place, index], {
          value: hash,
          allowed: `a hash of one customer; ${owner} has it already`,
        });
      }
    }
  }
  if (names.size > maxCustomers) {
    yield createProblem(source, [], {
      value: names.size,
      allowed: `at most ${maxCustomers} customers`,
    });
  }
}

/** Faults that show only when several branches are seen together. */
export function findCrossBranchProblems(
  tree: TreeDocument,
  source: SettingsOrigin = {},
): SettingsProblem[] {
  return [
    ...findServiceProblems(tree, source),
    ...findModelProblems(tree, source),
    ...findCustomerProblems(tree, source),
  ];
}

/** Lists all faults of plain data that should be a tree. */
export function findTreeProblems(
  data: unknown,
  source: SettingsOrigin = {},
): SettingsProblem[] {
  const problems = findProblems(treeSchema, data, source);
  if (problems.length > 0) return problems;
  return findCrossBranchProblems(data as TreeDocument, source);
}

/** Checks plain data and returns it as a tree. Throws `SettingsError`. */
export function checkTree(
  data: unknown,
  source: SettingsOrigin = {},
): TreeDocument {
  const problems = findTreeProblems(data, source);
  if (problems.length > 0) throw new SettingsError(problems);
  return data as TreeDocument;
}

/** Reads a tree from YAML. Throws `SettingsError` with all faults. */
export function parseTree(
  content: string,
  options: { file?: string } = {},
): TreeDocument {
  const { data, source } = parseYaml(content, options);
  return checkTree(data ?? {}, source);
}

/** Reads a tree from a file. Throws `SettingsError` with all faults. */
export async function loadTree(file: string): Promise<TreeDocument> {
  return parseTree(await readFile(file, "utf8"), { file });
}
