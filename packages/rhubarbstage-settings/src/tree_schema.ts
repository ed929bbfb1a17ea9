/**
 * Schema of the settings tree. The message of each schema states what is
 * allowed, so that errors can quote it.
 *
 * @module
 */

import { z } from "zod";
import { maxBodyLimit } from "./constants.ts";

/** Returns a schema of whole numbers in a closed range. */
export function wholeNumber(min: number, max: number) {
  const error = `a whole number from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
}

/** Returns a schema of numbers in a closed range. */
export function numberBetween(min: number, max: number) {
  const error = `a number from ${min} to ${max}`;
  return z.number({ error }).min(min, { error }).max(max, { error });
}

/** Returns a schema of an enumeration of strings. */
export function oneOf<const Values extends readonly string[]>(values: Values) {
  return z.enum(values, { error: values.join(", ") });
}

/** Returns a schema of strings that match a pattern. */
export function textMatching(pattern: RegExp, error: string) {
  return z.string({ error }).regex(pattern, { error });
}

const nameRule =
  'a name of up to 63 letters, digits, ".", "_" and "-" that starts with a letter or digit';

/** Names of hosts, regions, services, customers and kinds of work. */
export const nameSchema = textMatching(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  nameRule,
);

const branchNameSchema = textMatching(
  /^(\*|[A-Za-z0-9][A-Za-z0-9._-]{0,62})$/,
  `${nameRule}, or "*"`,
);

const modelName = textMatching(
  /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/,
  'a model name of up to 128 letters, digits and ".", "_", ":", "/", "-"',
);

const limitRule = 'a number from 0.001 to 1000000000, or "unlimited"';
const limit = z.union([
  z.number().min(0.001).max(1e9),
  z.literal("unlimited"),
], { error: limitRule });

const branchFields = {
  priority: wholeNumber(0, 100).optional(),
  share: numberBetween(0.001, 1_000_000).optional(),
  requests_per_second: limit.optional(),
  tokens_per_second: limit.optional(),
  floor_requests_per_second: numberBetween(0, 1_000_000).optional(),
  first_token_target_ms: wholeNumber(1, 3_600_000).optional(),
  retry_ratio: numberBetween(0, 1).optional(),
  deadline_ms: wholeNumber(1, 86_400_000).optional(),
  body_limit_bytes: wholeNumber(1, maxBodyLimit).optional(),
  when_isolated: oneOf(["serve", "refuse"]).optional(),
};

const poolFields = {
  prefill_floor: wholeNumber(0, 100_000).optional(),
  decode_floor: wholeNumber(0, 100_000).optional(),
  max_engines_away: wholeNumber(0, 100_000).optional(),
};

const routePattern = /^(\/(\{[a-z_]+\}|[A-Za-z0-9._~-]+))*(\/|\/\*\*)?$/;

const route = z.strictObject({
  method: oneOf(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"]),
  path: textMatching(
    routePattern,
    'a path such as "/accounts/{account}/top-ups"; a last segment "**" matches the rest',
  ).min(1),
  repeatable: z.boolean({ error: "true or false" }),
  kind: nameSchema.optional(),
}, { error: "a route with method, path and repeatable" });

function list<Item extends z.ZodType>(
  item: Item,
  error: string,
  maxItems: number,
) {
  return z.array(item, { error }).max(maxItems, {
    error: `a list of at most ${maxItems} items`,
  });
}

function branches<Branch extends z.ZodType>(branch: Branch) {
  return z.record(branchNameSchema, branch, {
    error: "a map from name to branch",
  });
}

const branchError = { error: "a map of settings" };

const serviceFields = {
  type: oneOf(["model", "plain"]).optional(),
  models: list(modelName, "a list of model names", 100).optional(),
  routes: list(route, "a list of routes", 1_000).optional(),
};

const customerFields = {
  api_key_hashes: list(
    textMatching(
      /^[0-9a-f]{64}$/,
      "a SHA-256 hash of 64 lower-case hex digits",
    ),
    "a list of SHA-256 hashes",
    100,
  ).optional(),
};

const kind = z.strictObject(branchFields, branchError);
const customer = z.strictObject({
  ...branchFields,
  ...customerFields,
  kinds: branches(kind).optional(),
}, branchError);
const service = z.strictObject({
  ...branchFields,
  ...poolFields,
  ...serviceFields,
  customers: branches(customer).optional(),
}, branchError);
const region = z.strictObject({
  ...branchFields,
  ...poolFields,
  services: branches(service).optional(),
}, branchError);

/** Schema of the whole tree. */
export const treeSchema = z.strictObject({
  ...branchFields,
  ...poolFields,
  regions: branches(region).optional(),
}, branchError);

/** The schema of one level of the tree. */
export interface TreeLevel {
  /** Name of the level in error messages. */
  readonly label: string;
  /** Key of the map of child branches; absent on the last level. */
  readonly childrenKey?: string;
  readonly schema: z.ZodObject;
}

/** Levels from the fleet to the kind of work. */
export const treeLevels: readonly TreeLevel[] = [
  { label: "fleet", childrenKey: "regions", schema: treeSchema },
  { label: "region", childrenKey: "services", schema: region },
  { label: "service", childrenKey: "customers", schema: service },
  { label: "customer", childrenKey: "kinds", schema: customer },
  { label: "kind", schema: kind },
];

/** Schema of a branch name. */
export { branchNameSchema };
