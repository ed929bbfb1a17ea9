import fc from "fast-check";
import type { HostId, Incarnation } from "rhubarbstage";
import {
  checkServerRecord,
  decodeGossipMessage,
  encodeGossipMessage,
  maxCapacity,
  MembershipReducer,
} from "../../src/mod.ts";
import { makeHost, makeServer } from "./network.ts";

const from = "host-1" as HostId;
const now = 1_000;

/** Values that a field of a record or message cannot have. */
const oddValues = fc.oneof(
  fc.constantFrom(
    null,
    undefined,
    Infinity,
    -Infinity,
    Number.NaN,
    -1,
    0.5,
    1e308,
    Number.MAX_SAFE_INTEGER,
    "",
    "__proto__",
    "x".repeat(10_000),
    [],
    {},
  ),
  fc.anything({ maxDepth: 3 }),
);

function makeReducer() {
  const reducer = new MembershipReducer({
    self: makeHost("host-0"),
    incarnation: 1 as Incarnation,
  });
  return { reducer, state: reducer.initial() };
}

function nest(depth: number): unknown {
  let value: unknown = [];
  for (let level = 0; level < depth; level += 1) value = [value];
  return value;
}

/** Wire form of a message with the entries of one host. */
function makeMessage(values: readonly unknown[]): unknown {
  const digest = [from, 1, 1, values.length, 0];
  const entries = values.map((
    value,
    index,
  ) => [`key-${index}`, index + 1, value]);
  return [[digest], [], [[digest, 0, true, entries]], []];
}

describe("records of servers", () => {
  const fields = Object.keys(makeServer("a"));

  test.each<[string, unknown]>([
    ["address", "http://10.0.0.1:65536"],
    ["address", "http://10.0.0.1:0"],
    ["address", "http://10.0.0.1:8080abc"],
    ["address", "http://10.0.0.1:80/path"],
    ["address", "file:///etc/passwd"],
    ["capacity", 1e308],
    ["capacity", maxCapacity + 1],
    ["capacity", 0.5],
    ["capacity", -1],
    ["incarnation", Number.MAX_SAFE_INTEGER],
    ["sequence", -1],
    ["id", ""],
    ["id", "a\r\nb"],
    ["region", "x".repeat(257)],
    ["models", Array.from({ length: 1_025 }, () => "m")],
    ["spot", "yes"],
    ["leavesIn", -1],
  ])("with a %s of %p are refused by name", (field, value) => {
    const record = { ...makeServer("a"), [field]: value };
    expect(() => checkServerRecord(record)).toThrow(`${field}: `);
  });

  // Guards against servers of a later software version that a host drops, or
  // passes on without the fields that it doesn't know.
  test("keep fields of later software versions", () => {
    const record = { ...makeServer("a"), reservedUntil: 5 };
    expect(() => checkServerRecord(record)).not.toThrow();
    const wire = makeMessage([{ type: "server", record }]);
    const decoded = decodeGossipMessage(wire);
    const again = decodeGossipMessage(encodeGossipMessage(decoded));
    expect(again.deltas[0]?.entries[0]?.value).toEqual({
      type: "server",
      record,
    });
  });

  test("are refused or usable, whatever their fields are", () => {
    fc.assert(
      fc.property(fc.constantFrom(...fields), oddValues, (field, value) => {
        const record: unknown = { ...makeServer("a"), [field]: value };
        try {
          checkServerRecord(record);
        } catch (thrown) {
          expect(String(thrown).length).toBeLessThan(400);
          return;
        }
        expect(new URL(record.address).port).not.toBe("0");
        expect(Number.isInteger(record.capacity)).toBe(true);
        expect(record.capacity).toBeLessThanOrEqual(maxCapacity);
        expect(JSON.stringify(record).length).toBeLessThan(1_000_000);
      }),
      { numRuns: 500 },
    );
  });
});

describe("gossip messages", () => {
  // Guards against an odd entry that costs the servers beside it: an exception
  // drops the effects of the whole message.
  test("with odd entries report the servers beside them", () => {
    const records = fc.record({
      field: fc.constantFrom(...Object.keys(makeServer("a"))),
      value: oddValues,
    }).map(({ field, value }) => ({
      type: "server",
      record: { ...makeServer("odd"), [field]: value },
    }));
    const types = fc.constantFrom(
      "host",
      "server",
      "server_gone",
      "marks",
      "part_marks",
      "request_limits",
      "revision",
      "later",
    );
    const contents = fc.record({ type: types, marks: oddValues })
      .map((value) => ({ ...value, record: value.marks, limits: value.marks }));
    const entries = fc.array(fc.oneof(oddValues, records, contents));
    const sound = { type: "server", record: makeServer("sound") };
    fc.assert(
      fc.property(entries, entries, (before, after) => {
        const { reducer, state } = makeReducer();
        const wire = makeMessage([...before, sound, ...after]);
        const message = decodeGossipMessage(wire);
        const effects = reducer.reduce(state, {
          type: "received",
          now,
          from,
          message,
        });
        const seen = effects.flatMap((effect) =>
          effect.type === "server_seen" ? [effect.record.id as string] : []
        );
        expect(seen).toContain("sound");
        reducer.reduce(state, { type: "tick", now: now + 500 });
        expect(state.logs.get(from)?.version)
          .toBe(before.length + after.length + 1);
      }),
      { numRuns: 300 },
    );
  });

  test("of any shape are decoded without an exception", () => {
    const odd = fc.oneof(oddValues, fc.array(oddValues));
    fc.assert(
      fc.property(odd, odd, odd, odd, (digest, wants, deltas, loads) => {
        const { reducer, state } = makeReducer();
        const message = decodeGossipMessage([digest, wants, deltas, loads]);
        reducer.reduce(state, { type: "received", now, from, message });
        reducer.reduce(state, { type: "tick", now: now + 500 });
      }),
      { numRuns: 300 },
    );
    expect(decodeGossipMessage(undefined).deltas).toEqual([]);
  });

  // Guards against values that a host stores, but cannot encode to pass them on.
  test.each([20, 2_000, 100_000])("drop values nested %i deep", (depth) => {
    const value = nest(depth);
    const nested = [
      { type: "later", value },
      { type: "server", record: { ...makeServer("a"), unknown: value } },
      { type: "server", record: { ...makeServer("a"), models: value } },
    ];
    const sound = { type: "server", record: makeServer("sound") };
    const message = decodeGossipMessage(makeMessage([...nested, sound]));
    expect(message.deltas[0]?.entries.map((entry) => entry.value)).toEqual([
      { type: "unreadable" },
      { type: "unreadable" },
      { type: "unreadable" },
      sound,
    ]);
  });

  test("keep values of later software versions as they are", () => {
    const later = { type: "later", content: [1, { a: 2 }] };
    const wire = makeMessage([later]);
    const message = decodeGossipMessage(wire);
    expect(message.deltas[0]?.entries[0]?.value).toEqual(later);
    expect(encodeGossipMessage(message)).toEqual(wire);
  });
});
