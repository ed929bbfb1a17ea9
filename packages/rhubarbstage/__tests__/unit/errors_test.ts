import {
  errorKinds,
  isErrorKind,
  RhubarbstageError,
  toRhubarbstageError,
} from "../../src/mod.ts";

describe("RhubarbstageError", () => {
  // Guards against a refusal whose outcome differs from the table.
  test("uses the status and outcome of the table of kinds", () => {
    const error = new RhubarbstageError("overloaded");
    expect(error.status).toBe(errorKinds.overloaded.status);
    expect(error.outcome).toBe("not_run");
  });

  // Guards against reporting "not run" for an unclassified fault.
  test("treats an unclassified error as one that may have run", () => {
    expect(toRhubarbstageError(new Error("boom")).outcome).toBe("may_have_run");
  });

  // Guards against accepting names inherited from Object.prototype.
  test("recognises only the kinds of the list", () => {
    expect(isErrorKind("overloaded")).toBe(true);
    expect(isErrorKind("toString")).toBe(false);
  });
});
