/**
 * Matching of calls to the routes of a plain service.
 *
 * @module
 */

import type { WorkKind } from "rhubarbstage";
import type { Route, ServiceSettings } from "./types.ts";

function matchesPath(pattern: string, path: string): boolean {
  const expected = pattern.split("/").filter((part) => part !== "");
  const actual = path.split("/").filter((part) => part !== "");
  const matchesRest = expected.at(-1) === "**";
  if (matchesRest) expected.pop();
  if (actual.length < expected.length) return false;
  if (!matchesRest && actual.length > expected.length) return false;
  return expected.every((part, index) =>
    part.startsWith("{") || part === actual[index]
  );
}

/**
 * Finds the first route that matches. A call without a route counts as not
 * repeatable, because running it twice could do harm.
 *
 * `path` starts with `/` and has neither the service prefix nor a query.
 */
export function findRoute(
  service: ServiceSettings,
  call: { readonly method: string; readonly path: string },
): Route {
  const route = service.routes.find(({ method, path }) =>
    (method === "*" || method === call.method) && matchesPath(path, call.path)
  );
  if (route !== undefined) return route;
  const { method, path } = call;
  return { method, path, repeatable: false, kind: "default" as WorkKind };
}
