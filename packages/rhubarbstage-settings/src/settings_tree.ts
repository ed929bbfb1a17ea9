/**
 * Cached look-ups in one revision of the tree.
 *
 * @module
 */

import type {
  CustomerId,
  ModelName,
  Region,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import {
  defaultPoolSettings,
  defaultSettings,
  maxCachedSettings,
  wildcardName,
} from "./constants.ts";
import type {
  BranchFields,
  EffectiveSettings,
  ExplainedSetting,
  PoolFields,
  PoolSettings,
  Route,
  RouteFields,
  ServiceBranch,
  ServiceSettings,
  SettingsPath,
  TreeDocument,
} from "./types.ts";

/** A branch that matches a path. */
interface Match {
  readonly path: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

type Children = Readonly<Record<string, Match["fields"]>> | undefined;

const childKeys = ["regions", "services", "customers", "kinds"] as const;

/** Maps names in the tree to names in code. */
const settingNames = {
  priority: "priority",
  share: "share",
  requests_per_second: "requestsPerSecond",
  tokens_per_second: "tokensPerSecond",
  floor_requests_per_second: "floorRequestsPerSecond",
  first_token_target_ms: "firstTokenTarget",
  retry_ratio: "retryRatio",
  deadline_ms: "deadline",
  body_limit_bytes: "bodyLimit",
  when_isolated: "whenIsolated",
} as const satisfies Record<keyof BranchFields, keyof EffectiveSettings>;

const poolNames = {
  prefill_floor: "prefillFloor",
  decode_floor: "decodeFloor",
  max_engines_away: "maxUnavailableEngines",
} as const satisfies Record<keyof PoolFields, keyof PoolSettings>;

function findBranch(
  tree: TreeDocument,
  names: readonly string[],
): Match | undefined {
  let fields = tree as Match["fields"];
  const path: string[] = [];
  for (const [index, name] of names.entries()) {
    const key = childKeys[index] as string;
    const children = fields[key] as Children;
    if (children === undefined || !Object.hasOwn(children, name)) {
      return undefined;
    }
    fields = children[name] as Match["fields"];
    path.push(key, name);
  }
  return { path: path.join("/") || "fleet", fields };
}

/**
 * Finds the branches that match a path, in ascending precedence. Deeper
 * branches take precedence, then exact names over `*`, of which the deepest
 * decides first.
 */
function findMatches(tree: TreeDocument, names: readonly string[]): Match[] {
  const matches: Match[] = [];
  for (let depth = 0; depth <= names.length; depth += 1) {
    for (let mask = 0; mask < 1 << depth; mask += 1) {
      const candidate = names.slice(0, depth)
        .map((name, level) => (mask >> level) & 1 ? name : wildcardName);
      const isDuplicate = candidate.some((name, level) =>
        ((mask >> level) & 1) === 1 && name === wildcardName
      );
      const match = isDuplicate ? undefined : findBranch(tree, candidate);
      if (match !== undefined) matches.push(match);
    }
  }
  return matches;
}

function replaceUnlimited(value: unknown): unknown {
  return value === "unlimited" ? Infinity : value;
}

function mergeSettings(matches: readonly Match[]): EffectiveSettings {
  const result: Record<string, unknown> = { ...defaultSettings };
  for (const { fields } of matches) {
    for (const [name, target] of Object.entries(settingNames)) {
      if (fields[name] !== undefined) {
        result[target] = replaceUnlimited(fields[name]);
      }
    }
  }
  return result as unknown as EffectiveSettings;
}

function mergePool(matches: readonly Match[]): PoolSettings {
  const result: Record<string, unknown> = { ...defaultPoolSettings };
  for (const { fields } of matches) {
    for (const [name, target] of Object.entries(poolNames)) {
      if (fields[name] !== undefined) result[target] = fields[name];
    }
  }
  return result as unknown as PoolSettings;
}

function toRoute(fields: RouteFields): Route {
  return { ...fields, kind: (fields.kind ?? "default") as WorkKind };
}

/** Names of branches, `*` included, and owners of key hashes. */
interface BranchNames {
  readonly regions: ReadonlySet<string>;
  readonly services: ReadonlySet<string>;
  readonly customers: ReadonlySet<string>;
  readonly kinds: ReadonlySet<string>;
  readonly customerOfKey: ReadonlyMap<string, CustomerId>;
}

function collectNames(tree: TreeDocument): BranchNames {
  const regions = new Set<string>();
  const services = new Set<string>();
  const customers = new Set<string>();
  const kinds = new Set<string>();
  const customerOfKey = new Map<string, CustomerId>();
  for (
    const [region, { services: regionServices }] of Object.entries(
      tree.regions ?? {},
    )
  ) {
    regions.add(region);
    for (const [service, branch] of Object.entries(regionServices ?? {})) {
      services.add(service);
      for (const [customer, fields] of Object.entries(branch.customers ?? {})) {
        customers.add(customer);
        for (const kind of Object.keys(fields.kinds ?? {})) kinds.add(kind);
        for (const hash of fields.api_key_hashes ?? []) {
          customerOfKey.set(hash, customer as CustomerId);
        }
      }
    }
  }
  return { regions, services, customers, kinds, customerOfKey };
}

function sortNames<Name extends string>(names: ReadonlySet<string>): Name[] {
  return [...names].filter((name) => name !== wildcardName).sort() as Name[];
}

/** One revision of the tree, ready for look-ups on each request. */
export class SettingsTree {
  /** The tree as it is stored. */
  readonly document: TreeDocument;
  readonly #names: BranchNames;
  readonly #settings = new Map<string, EffectiveSettings>();
  readonly #services = new Map<string, ServiceSettings | undefined>();

  /** Expects a tree that was checked before; see `checkTree`. */
  constructor(document: TreeDocument) {
    this.document = document;
    this.#names = collectNames(document);
  }

  /** Returns the settings in force for a path, from a cache where possible. */
  resolveSettings(path: SettingsPath): EffectiveSettings {
    const names = this.#replaceUnknownNames(path);
    const key = names.join("/");
    const cached = this.#settings.get(key);
    if (cached !== undefined) return cached;
    if (this.#settings.size >= maxCachedSettings) this.#settings.clear();
    const settings = mergeSettings(findMatches(this.document, names));
    this.#settings.set(key, settings);
    return settings;
  }

  /** Returns the settings in force for a path, each with its branch. */
  explain(path: SettingsPath): ExplainedSetting[] {
    const matches = findMatches(this.document, this.#replaceUnknownNames(path));
    return Object.entries(settingNames).map(([name, target]) => {
      const match = matches.findLast(({ fields }) =>
        fields[name] !== undefined
      );
      const value = match?.fields[name] ?? defaultSettings[target];
      return {
        name,
        value: value === Infinity ? "unlimited" : value,
        from: match?.path ?? "default",
      };
    });
  }

  /** Returns a service in a region; undefined when there is no such service. */
  service(region: Region, service: ServiceName): ServiceSettings | undefined {
    const regionName = this.#names.regions.has(region) ? region : wildcardName;
    if (!this.#names.services.has(service) || service === wildcardName) {
      return undefined;
    }
    const key = `${regionName}/${service}`;
    if (!this.#services.has(key)) {
      this.#services.set(key, this.#mergeService(regionName, service));
    }
    return this.#services.get(key);
  }

  /** Returns the services of a region, sorted by name. */
  services(region: Region): ServiceSettings[] {
    return sortNames<ServiceName>(this.#names.services)
      .flatMap((service) => this.service(region, service) ?? []);
  }

  /** Returns the service of a region that serves a model. */
  serviceOfModel(
    region: Region,
    model: ModelName,
  ): ServiceSettings | undefined {
    return this.services(region).find(({ models }) => models.includes(model));
  }

  /** Finds the customer of an API key by its SHA-256 hash in hexadecimal. */
  customerOfKeyHash(hash: string): CustomerId | undefined {
    return this.#names.customerOfKey.get(hash);
  }

  /** Returns the customers that the tree names, sorted. */
  customers(): CustomerId[] {
    return sortNames(this.#names.customers);
  }

  /** Returns the regions that the tree names, sorted. */
  regions(): Region[] {
    return sortNames(this.#names.regions);
  }

  /**
   * Replaces names that no branch has by `*`, so that callers cannot grow the
   * cache with arbitrary names.
   */
  #replaceUnknownNames(path: SettingsPath): readonly string[] {
    const { regions, services, customers, kinds } = this.#names;
    return [
      regions.has(path.region) ? path.region : wildcardName,
      services.has(path.service) ? path.service : wildcardName,
      customers.has(path.customer) ? path.customer : wildcardName,
      kinds.has(path.kind) ? path.kind : wildcardName,
    ];
  }

  #mergeService(
    region: string,
    service: ServiceName,
  ): ServiceSettings | undefined {
    const matches = findMatches(this.document, [region, service]);
    const effectiveValue = <Key extends keyof ServiceBranch>(key: Key) =>
      matches.findLast(({ fields }) => fields[key] !== undefined)
        ?.fields[key] as ServiceBranch[Key];
    const type = effectiveValue("type");
    if (type === undefined) return undefined;
    return {
      service,
      type,
      models: (effectiveValue("models") ?? []) as readonly ModelName[],
      routes: (effectiveValue("routes") ?? []).map(toRoute),
      pool: mergePool(matches),
    };
  }
}
