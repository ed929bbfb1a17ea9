/**
 * Schema of the tree of settings. The message of each schema says what is
 * allowed, so that errors can quote it.
 *
 * @module
 */

import { z } from "zod";
import { maxBodyLimit } from "./constants.ts";

/** A whole number in a closed range. */
export function wholeNumber(least: number, most: number) {
  const error = `a whole number from ${least} to ${most}`;
  return z.int({ error }).min(least, { error }).max(most, { error });
}

/** A number in a closed range. */
export function numberBetween(least: number, most: number) {
  const error = `a number from ${least} to ${most}`;
  return z.number({ error }).min(least, { error }).max(most, { error });
}

/** One of a few words. */
export function oneOf<const Words extends readonly string[]>(words: Words) {
  return z.enum(words, { error: words.join(", ") });
}

/** Text that matches a pattern. */
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

const common = {
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

const pool = {
  prefill_floor: wholeNumber(0, 100_000).optional(),
  decode_floor: wholeNumber(0, 100_000).optional(),
  max_engines_away: wholeNumber(0, 100_000).optional(),
};

const routePattern = /^(\/(\{[a-z_]+\}|[A-Za-z0-9._~-]+))*(\/|\/\*\*)?$/;

const route = z.strictObject({
  method: oneOf(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "*"]),
  path: textMatching(
    routePattern,
    'a path such as "/accounts/{account}/top-ups"; a last segment "**" takes the rest',
  ).min(1),
  repeatable: z.boolean({ error: "true or false" }),
  kind: nameSchema.optional(),
}, { error: "a route with method, path and repeatable" });

function list<Item extends z.ZodType>(item: Item, error: string, most: number) {
  return z.array(item, { error }).max(most, {
    error: `a list of at most ${most}`,
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

const kind = z.strictObject(common, branchError);
const customer = z.strictObject({
  ...common,
  ...customerFields,
  kinds: branches(kind).optional(),
}, branchError);
const service = z.strictObject({
  ...common,
  ...pool,
  ...serviceFields,
  customers: branches(customer).optional(),
}, branchError);
const region = z.strictObject({
  ...common,
  ...pool,
  services: branches(service).optional(),
}, branchError);

/** Schema of the whole tree. */
export const treeSchema = z.strictObject({
  ...common,
  ...pool,
  regions: branches(region).optional(),
}, branchError);

/** The schema of one level of the tree. */
export interface TreeLevel {
  /** Word for a branch of the level. */
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
