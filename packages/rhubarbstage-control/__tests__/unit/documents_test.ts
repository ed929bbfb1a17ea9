import { controlQueries, ControlStateMachine } from "../../src/mod.ts";
import type { DocumentAnswer } from "../../src/types.ts";

const machine = new ControlStateMachine();

function publish(
  state: ReturnType<ControlStateMachine["initial"]>,
  version: number,
  content: string,
): number {
  const document = { name: "routes", version, content };
  const result = machine.apply(state, { type: "publish", document }, 1);
  return result.type === "publish" ? result.version : NaN;
}

function read(
  state: ReturnType<ControlStateMachine["initial"]>,
  version?: number,
): DocumentAnswer {
  const request = {
    name: "routes",
    ...(version === undefined ? {} : { version }),
  };
  return controlQueries.document(state, request);
}

test("the highest version is in force, in any order of publication", () => {
  const state = machine.initial();
  expect(publish(state, 4, "four")).toBe(4);
  expect(publish(state, 9, "nine")).toBe(9);
  expect(publish(state, 7, "seven")).toBe(9);
  expect(read(state).document?.content).toBe("nine");
});

test("the first content under a version stays", () => {
  const state = machine.initial();
  publish(state, 4, "first");
  expect(publish(state, 4, "second")).toBe(4);
  expect(read(state).document?.content).toBe("first");
});

test("a caller that has the version gets no content", () => {
  const state = machine.initial();
  expect(read(state)).toEqual({});
  publish(state, 4, "four");
  expect(read(state, 4)).toEqual({ version: 4 });
  expect(read(state, 3).document?.content).toBe("four");
});

test("documents survive a snapshot; snapshots without documents are restored", () => {
  const state = machine.initial();
  publish(state, 4, "four");
  const restored = machine.restore(machine.snapshot(state));
  expect(read(restored).document?.content).toBe("four");
  const { documents: _documents, ...earlier } = machine.initial();
  expect(read(machine.restore(earlier))).toEqual({});
});
