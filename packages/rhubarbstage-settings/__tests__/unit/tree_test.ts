import fc from "fast-check";
import type {
  CustomerId,
  ModelName,
  Region,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import {
  checkTree,
  defaultSettings,
  findRoute,
  parseTree,
  SettingsError,
  SettingsTree,
  type TreeDocument,
} from "../../src/mod.ts";

const hash = "a".repeat(64);
const content = `
share: 2
regions:
  "*":
    priority: 1
    services:
      chat:
        type: model
        models: [small, large]
        decode_floor: 2
        customers:
          cremona:
            kinds:
              short: {priority: 9}
      kiosk:
        type: plain
        routes:
          - {method: GET, path: "/accounts/{account}", repeatable: true}
          - {method: "*", path: /tariffs/**, repeatable: true, kind: tariff}
          - {method: POST, path: "/accounts/{account}/top-ups", repeatable: false}
      "*":
        customers:
          "*": {priority: 2, requests_per_second: 5}
          cremona:
            requests_per_second: unlimited
            api_key_hashes: [${hash}]
  veneto:
    priority: 4
    services:
      chat:
        decode_floor: 3
        customers:
          "*": {priority: 3}
`;

function path(region: string, service: string, customer: string, kind = "x") {
  return {
    region: region as Region,
    service: service as ServiceName,
    customer: customer as CustomerId,
    kind: kind as WorkKind,
  };
}

function problemsOf(text: string) {
  try {
    parseTree(text, { file: "tree.yaml" });
  } catch (error) {
    if (error instanceof SettingsError) return error.problems;
    throw error;
  }
  return [];
}

describe("SettingsTree", () => {
  const tree = new SettingsTree(parseTree(content));

  // Guards against a shallower branch that overrides a deeper one.
  test("prefers the deeper branch, then exact names from the deepest up", () => {
    const priority = (...args: Parameters<typeof path>) =>
      tree.resolveSettings(path(...args)).priority;
    expect(priority("veneto", "chat", "cremona", "short")).toBe(9);
    expect(priority("veneto", "chat", "mantova")).toBe(3);
    expect(priority("veneto", "kiosk", "mantova")).toBe(2);
    expect(priority("emilia", "chat", "mantova")).toBe(2);
    expect(tree.resolveSettings(path("veneto", "chat", "cremona"))).toEqual({
      ...defaultSettings,
      share: 2,
      priority: 3,
      requestsPerSecond: Infinity,
    });
  });

  // Guards against an explanation that disagrees with the value in force.
  test("returns the branch that sets each setting", () => {
    const settings = tree.explain(path("veneto", "chat", "cremona"));
    const from = Object.fromEntries(
      settings.map((setting) => [setting.name, setting]),
    );
    expect(from.requests_per_second).toEqual({
      name: "requests_per_second",
      value: "unlimited",
      from: "regions/*/services/*/customers/cremona",
    });
    expect(from.priority?.from).toBe(
      "regions/veneto/services/chat/customers/*",
    );
    expect(from.share?.from).toBe("fleet");
    expect(from.deadline_ms?.from).toBe("default");
  });

  // Guards against one customer's key giving another customer's rights, and
  // against names such as "constructor" that plain objects inherit.
  test("finds customers, services and models only by their own names", () => {
    expect(tree.customerOfKeyHash(hash)).toBe("cremona");
    expect(tree.customerOfKeyHash("b".repeat(64))).toBeUndefined();
    expect(tree.service("veneto" as Region, "constructor" as ServiceName))
      .toBeUndefined();
    expect(tree.service("veneto" as Region, "*" as ServiceName))
      .toBeUndefined();
    expect(tree.resolveSettings(path("constructor", "toString", "__proto__")))
      .toEqual({ ...tree.resolveSettings(path("none", "none", "none")) });
    const service = tree.serviceOfModel(
      "veneto" as Region,
      "large" as ModelName,
    );
    expect(service?.service).toBe("chat");
    expect(service?.pool.decodeFloor).toBe(3);
    expect(tree.service("emilia" as Region, "chat" as ServiceName)?.pool)
      .toEqual({ prefillFloor: 0, decodeFloor: 2, maxUnavailableEngines: 1 });
  });

  // Guards against running an unlisted call twice.
  test("matches routes and treats unlisted calls as not repeatable", () => {
    const kiosk = tree.services("emilia" as Region)
      .find(({ service }) => service === "kiosk");
    if (kiosk === undefined) throw new Error("The service kiosk is missing");
    const repeatable = (method: string, path: string) =>
      findRoute(kiosk, { method, path }).repeatable;
    expect(repeatable("GET", "/accounts/7")).toBe(true);
    expect(repeatable("GET", "/accounts/7/other")).toBe(false);
    expect(repeatable("POST", "/accounts/7/top-ups")).toBe(false);
    expect(findRoute(kiosk, { method: "PUT", path: "/tariffs/a/b" }).kind)
      .toBe("tariff");
    expect(repeatable("DELETE", "/accounts/7")).toBe(false);
  });

  // Guards against a cache that returns the settings of another path. The
  // reference checks every branch in order of precedence, without cache or
  // indices.
  test("agrees with an uncached reference look-up on random trees", () => {
    const name = fc.constantFrom("*", "a", "b");
    const branch = fc.record({ priority: fc.nat(100) }, { requiredKeys: [] });
    const places = fc.array(
      fc.tuple(fc.array(name, { maxLength: 4 }), branch),
      { maxLength: 12 },
    );
    const queries = fc.array(
      fc.array(fc.constantFrom("a", "b", "c"), { minLength: 4, maxLength: 4 }),
      { minLength: 1, maxLength: 8 },
    );
    fc.assert(
      fc.property(places, queries, (branches, paths) => {
        const document = buildTree(branches);
        const subject = new SettingsTree(document);
        for (const names of paths) {
          const [region, service, customer, kind] = names as [
            string,
            string,
            string,
            string,
          ];
          const expected = naivePriority(branches, names);
          expect(
            subject.resolveSettings(path(region, service, customer, kind))
              .priority,
          ).toBe(expected);
        }
      }),
      { seed: 20_261, numRuns: 300 },
    );
  });
});

type PlacedBranch = [string[], { priority?: number | undefined }];

function buildTree(branches: readonly PlacedBranch[]): TreeDocument {
  const keys = ["regions", "services", "customers", "kinds"];
  const root: Record<string, unknown> = {};
  for (const [names, fields] of branches) {
    let branch = root;
    for (const [index, name] of names.entries()) {
      const key = keys[index] as string;
      const children = (branch[key] ??= {}) as Record<string, unknown>;
      branch = (children[name] ??= {}) as Record<string, unknown>;
    }
    Object.assign(branch, fields);
  }
  return root as TreeDocument;
}

function naivePriority(
  branches: readonly PlacedBranch[],
  names: readonly string[],
): number {
  let best: { rank: string; priority: number } | undefined;
  for (const [place, { priority }] of branches) {
    const matches = place.every((name, index) =>
      name === "*" || name === names[index]
    );
    if (!matches || priority === undefined) continue;
    const exactness = place.map((name) => name === "*" ? "0" : "1").reverse();
    const rank = `${place.length}${exactness.join("")}`;
    if (best === undefined || rank >= best.rank) best = { rank, priority };
  }
  return best?.priority ?? 0;
}

describe("parseTree", () => {
  // Guards against errors that do not locate the fault in the file.
  test("names line, path, value, allowed values and the nearest key", () => {
    const faulty = content
      .replace("priority: 4", "priorty: 4")
      .replace("{priority: 9}", "{priority: 900}");
    const problems = problemsOf(faulty);
    expect(problems[0]).toMatchObject({
      file: "tree.yaml",
      line: 14,
      path: "regions/*/services/chat/customers/cremona/kinds/short/priority",
      value: "900",
      allowed: "a whole number from 0 to 100",
    });
    expect(problems[1]).toMatchObject({
      line: 28,
      path: "regions/veneto/priorty",
      nearest: "priority",
    });
  });

  // Guards against ambiguous callers or models and unusable services.
  test("refuses shared keys, shared models and services without a type", () => {
    const faulty = content.replace(
      "  veneto:",
      `  emilia:
    services:
      extra: {models: [small]}
      chat:
        customers:
          mantova: {api_key_hashes: [${hash}]}
  veneto:`,
    );
    expect(problemsOf(faulty).map(({ path }) => path)).toEqual([
      "regions/emilia/services/extra/type",
      "regions/emilia/services/extra/models/0",
      "regions/emilia/services/chat/customers/mantova/api_key_hashes/0",
    ]);
  });

  // Guards against quoting a key entered in place of its hash.
  test("does not quote values that may be secret", () => {
    const faulty = content.replace(hash, "sk-customer-key");
    const [problem] = problemsOf(faulty);
    expect(problem?.value).toBe("[redacted]");
    expect(JSON.stringify(problemsOf(faulty))).not.toContain("sk-customer");
  });

  // Guards against a small file that expands without bound.
  test("refuses aliases that expand exponentially", () => {
    const lines = ["a0: &a0 [x, x, x, x, x, x, x, x, x, x]"];
    for (let index = 1; index < 9; index += 1) {
      const items = Array(10).fill(`*a${index - 1}`).join(", ");
      lines.push(`a${index}: &a${index} [${items}]`);
    }
    expect(problemsOf(lines.join("\n"))[0]?.allowed).toContain("YAML");
  });

  // Guards against names that break paths.
  test("refuses names with a slash", () => {
    expect(() => checkTree({ regions: { "a/b": {} } })).toThrow(SettingsError);
  });
});
