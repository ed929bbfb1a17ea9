import type { ServiceName } from "rhubarbstage";
import { RhubarbstageError } from "rhubarbstage";
import { endToEndHeaders } from "../../src/headers.ts";
import { statusForError } from "../../src/relay.ts";
import { pickTarget, RouteIndex } from "../../src/route_index.ts";
import type { Route, RouteTable } from "../../src/types.ts";

function route(changes: Partial<Route>): Route {
  return {
    name: "route",
    hostName: "shop.example",
    pathPrefix: "/",
    kind: "idempotent",
    timeout: 1_000,
    latencyTarget: 100,
    rank: 0,
    targets: [{ service: "store" as ServiceName, weight: 1 }],
    maxAttempts: 2,
    resumable: false,
    ...changes,
  };
}

function table(routes: readonly Route[]): RouteTable {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  };
  return { version: 1, routes, services: [], limits };
}

test("finds the route with the longest matching prefix for a host name", () => {
  const index = new RouteIndex(table([
    route({ name: "all" }),
    route({ name: "sales", pathPrefix: "/sales/" }),
    route({ name: "old sales", pathPrefix: "/sales/old/" }),
    route({ name: "other", hostName: "other.example" }),
  ]));
  expect(index.find("shop.example", "/sales/old/1")?.name).toBe("old sales");
  expect(index.find("SHOP.example", "/sales/1")?.name).toBe("sales");
  expect(index.find("shop.example", "/sales")?.name).toBe("all");
  expect(index.find("unknown.example", "/sales/")).toBeUndefined();
});

test("selects targets by weight and never one with weight 0", () => {
  const split = route({
    targets: [
      { service: "none" as ServiceName, weight: 0 },
      { service: "most" as ServiceName, weight: 90 },
      { service: "few" as ServiceName, weight: 10 },
    ],
  });
  expect(pickTarget(split, 0)).toBe("most");
  expect(pickTarget(split, 0.899)).toBe("most");
  expect(pickTarget(split, 0.901)).toBe("few");
  expect(pickTarget(split, 0.999_999)).toBe("few");
});

test("removes hop-by-hop headers and those listed in Connection", () => {
  const headers = [
    "Host",
    "shop.example",
    "Connection",
    "close, X-Hop",
    "X-Hop",
    "1",
    "Transfer-Encoding",
    "chunked",
    "Set-Cookie",
    "a",
    "set-cookie",
    "b",
  ];
  expect(endToEndHeaders(headers)).toEqual(
    ["Host", "shop.example", "Set-Cookie", "a", "set-cookie", "b"],
  );
});

test("returns a status that implies `not_run` only for that outcome", () => {
  const refused = new RhubarbstageError("overloaded");
  expect(statusForError(refused)).toBe(503);
  const late = new RhubarbstageError("deadline_exceeded");
  expect(statusForError(late)).toBe(503);
  const lateAndSent = new RhubarbstageError("deadline_exceeded", {
    outcome: "may_have_run",
  });
  expect(statusForError(lateAndSent)).toBe(504);
  const sent = new RhubarbstageError("overloaded", { outcome: "may_have_run" });
  expect(statusForError(sent)).toBe(502);
  expect(statusForError(new RhubarbstageError("request_quarantined"))).toBe(
    503,
  );
  expect(statusForError(new RhubarbstageError("not_found"))).toBe(404);
});
