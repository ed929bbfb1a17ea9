/**
 * Loads and checks the settings tree.
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

/** A service branch with its path in the tree. */
interface ServiceEntry {
  readonly path: readonly string[];
  readonly region: string;
  readonly service: string;
  readonly branch: ServiceBranch;
}

function* listServices(tree: TreeDocument): Generator<ServiceEntry> {
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
  const servicesWithType = new Set(
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
      ? servicesWithType.has(service)
      : servicesWithType.has(`${region}/${service}`) ||
        servicesWithType.has(`*/${service}`);
    if (!hasType) {
      yield createProblem(source, [...path, "type"], {
        allowed: "model, plain",
      });
    }
  }
}

/**
 * Lists the branches whose models apply in a region, which overrides `*` per
 * service.
 */
function listModelOwners(
  services: readonly ServiceEntry[],
  region: string,
): ServiceEntry[] {
  const owners = new Map<string, ServiceEntry>();
  for (const scope of [wildcardName, region]) {
    for (const entry of services) {
      const isOwner = entry.region === scope &&
        entry.branch.models !== undefined;
      if (isOwner) owners.set(entry.service, entry);
    }
  }
  return [...owners.values()];
}

/**
 * Finds models that two services of a region list; requests name only the
 * model.
 */
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
        const modelPath = [...path, "models", index];
        const key = modelPath.join("/");
        if (owner === undefined || reported.has(key)) continue;
        reported.add(key);
        yield createProblem(source, modelPath, {
          value: model,
          allowed: `a model that is listed once; ${owner} has it already`,
        });
      }
    }
  }
}

/**
 * Finds key hashes of several customers (ambiguous callers) or of `*`, and too
 * many customers.
 */
function* findCustomerProblems(
  tree: TreeDocument,
  source: SettingsOrigin,
): Generator<SettingsProblem> {
  const owners = new Map<string, string>();
  const customerNames = new Set<string>();
  for (const { path, branch } of listServices(tree)) {
    for (const [customer, fields] of Object.entries(branch.customers ?? {})) {
      customerNames.add(customer);
      const hashes = fields.api_key_hashes ?? [];
      const hashesPath = [...path, "customers", customer, "api_key_hashes"];
      if (customer === wildcardName && hashes.length > 0) {
        yield createProblem(source, hashesPath, {
          value: hashes,
          allowed: 'no such key on the customer "*"',
        });
      }
      for (const [index, hash] of hashes.entries()) {
        const owner = owners.get(hash);
        owners.set(hash, customer);
        if (owner === undefined || owner === customer) continue;
        yield createProblem(source, [...hashesPath, index], {
          value: hash,
          allowed: `a hash of one customer; ${owner} has it already`,
        });
      }
    }
  }
  if (customerNames.size > maxCustomers) {
    yield createProblem(source, [], {
      value: customerNames.size,
      allowed: `at most ${maxCustomers} customers`,
    });
  }
}

/** Finds problems that involve several branches. */
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

/** Returns all schema problems or, if none, all cross-branch ones. */
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

/** Parses a YAML tree. Throws `SettingsError` with the problems found. */
export function parseTree(
  content: string,
  options: { file?: string } = {},
): TreeDocument {
  const { data, source } = parseYaml(content, options);
  return checkTree(data ?? {}, source);
}

/** Loads a tree from a file. Throws `SettingsError` like `parseTree`. */
export async function loadTree(file: string): Promise<TreeDocument> {
  return parseTree(await readFile(file, "utf8"), { file });
}
