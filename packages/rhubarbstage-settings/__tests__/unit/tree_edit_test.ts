import fc from "fast-check";
import {
  applyOperations,
  checkTree,
  diffTrees,
  parseTree,
  SettingsError,
  toOperations,
  type TreeDocument,
  type TreeOperation,
} from "../../src/mod.ts";

const tree: TreeDocument = parseTree(`
priority: 1
regions:
  "*":
    services:
      chat: {type: model, models: [small]}
`);

function messageOf(operations: unknown): string {
  try {
    applyOperations(tree, operations as TreeOperation[]);
  } catch (error) {
    if (error instanceof SettingsError) return error.message;
    throw error;
  }
  return "";
}

describe("applyOperations", () => {
  // Guards against an edit that changes the tree that others still read.
  test("creates missing branches and does not modify its input", () => {
    const before = JSON.stringify(tree);
    const path = "regions/*/services/chat/customers/cremona/priority";
    const edited = applyOperations(tree, [
      { path, set: 7 },
      { path: "priority", remove: true },
    ]);
    expect(diffTrees(tree, edited)).toEqual([
      { path: "priority", before: 1 },
      {
        path: "regions/*/services/chat/customers",
        after: { cremona: { priority: 7 } },
      },
    ]);
    expect(JSON.stringify(tree)).toBe(before);
  });

  // Guards against a half-applied edit.
  test("refuses the whole edit when one operation is wrong", () => {
    expect(messageOf([
      { path: "priority", set: 2 },
      { path: "regions/*/services/chat/decode_flor", set: 2 },
    ])).toContain('did you mean "decode_floor"?');
    expect(messageOf([{ path: "priority", set: "high" }])).toBe(
      'priority has the value "high"; allowed: a whole number from 0 to 100',
    );
  });

  // Guards against operations of a wrong shape in requests of operators.
  test("refuses malformed operations and paths that do not exist", () => {
    expect(messageOf("x")).toContain("a list of 1 to 1000 operations");
    expect(messageOf([])).toContain("operations");
    expect(messageOf([{ path: "priority" }])).toContain("operations/0");
    expect(messageOf([{ path: "share", remove: true }])).toContain(
      "a path that the tree has",
    );
    expect(messageOf([{ path: "regions/a/b", set: 1 }])).toContain("services");
    expect(messageOf([{ path: "", remove: true }])).toContain("below the root");
    expect(messageOf([{ path: "priority/x", set: 1 }])).toContain(
      "no further segment",
    );
    expect(messageOf([{ path: "regions/__proto__/priority", set: 1 }]))
      .toContain("a name");
  });

  // Guards against edits that are valid alone but make the tree invalid.
  test("checks the resulting tree as a whole", () => {
    expect(messageOf([
      { path: "regions/*/services/chat/type", remove: true },
    ])).toContain("model, plain");
  });

  // Guards against a diff whose operations do not produce the other tree.
  test("applying the diff of random trees produces the other tree", () => {
    const fields = fc.record(
      { priority: fc.nat(100), share: fc.integer({ min: 1, max: 9 }) },
      { requiredKeys: [] },
    );
    const customers = fc.dictionary(fc.constantFrom("*", "a", "b"), fields);
    const document = fc.record({
      priority: fc.nat(3),
      regions: fc.dictionary(
        fc.constantFrom("*", "veneto"),
        fc.record({
          services: fc.record({
            "*": fc.record({ customers }, { requiredKeys: [] }),
          }),
        }),
      ),
    }, { requiredKeys: [] });
    fc.assert(
      fc.property(document, document, (left, right) => {
        const from = checkTree(plain(left));
        const to = checkTree(plain(right));
        const operations = toOperations(diffTrees(from, to));
        const result = operations.length === 0
          ? from
          : applyOperations(from, operations);
        expect(diffTrees(result, to)).toEqual([]);
      }),
      { seed: 20_262, numRuns: 200 },
    );
  });
});

function plain(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}
