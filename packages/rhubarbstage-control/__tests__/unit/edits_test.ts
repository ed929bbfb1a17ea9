import fc from "fast-check";
import { type EditId, type Revision, RhubarbstageError } from "rhubarbstage";
import { decode, encode } from "@rhubarbstage/transport";
import { CallRecorder, isLinearizable } from "@rhubarbstage/test-support";
import {
  type Confirmation,
  controlQueries,
  type ControlResult,
  ControlStateMachine,
  type Edit,
  EditClient,
  type EditResult,
  RevisionConflictError,
  type Tree,
  type TreeOperation,
} from "../../src/mod.ts";
import { applyOperations } from "../../src/mod.ts";
import { isNoQuorum } from "../../src/errors.ts";
import { flakyControlGroup } from "./flaky_group.ts";

type Json = { [name: string]: Json | number };

/** The naive model: one tree that is changed in place, one table of answers. */
class NaiveTree {
  revision = 1;
  tree: Json = {};
  answers = new Map<string, { content: string; result: EditResult }>();

  edit(edit: Edit): EditResult {
    const content = JSON.stringify([edit.expectedRevision, edit.operations]);
    const first = this.answers.get(edit.editId);
    if (first?.content === content) return first.result;
    if (first) return { type: "edit_id_reused" };
    const result = this.#editOnce(edit);
    this.answers.set(edit.editId, { content, result });
    return result;
  }

  #editOnce(edit: Edit): EditResult {
    if (edit.expectedRevision !== this.revision) {
      return { type: "conflict", revision: this.revision as Revision };
    }
    const copy = structuredClone(this.tree);
    if (!edit.operations.every((operation) => change(copy, operation))) {
      return { type: "invalid", message: expect.any(String) };
    }
    this.tree = copy;
    this.revision += 1;
    return { type: "accepted", revision: this.revision as Revision };
  }
}

function change(tree: Json, operation: TreeOperation): boolean {
  const names = operation.path.slice(0, -1);
  const last = operation.path.at(-1) as string;
  let branch = tree;
  for (const name of names) {
    if (!Object.hasOwn(branch, name)) {
      if ("remove" in operation) return false;
      branch[name] = {};
    }
    const next = branch[name] as Json | number;
    if (typeof next === "number") return false;
    branch = next;
  }
  if ("set" in operation) branch[last] = structuredClone(operation.set) as Json;
  else if (!Object.hasOwn(branch, last)) return false;
  else delete branch[last];
  return true;
}

const names = fc.constantFrom("fleet", "region", "toString");
const values = fc.oneof(
  fc.integer({ min: 0, max: 9 }),
  fc.constant({}),
  fc.constant({ region: 1 }),
);
const path = fc.array(names, { minLength: 1, maxLength: 3 });
const operation: fc.Arbitrary<TreeOperation> = fc.oneof(
  fc.record({ path, set: values }),
  fc.record({ path, remove: fc.constant(true as const) }),
);
const steps = fc.array(
  fc.record({
    editId: fc.constantFrom("a", "b", "c", "d", "e", "f", "g", "h"),
    distance: fc.constantFrom(0, 0, 0, 0, -1, 1),
    operations: fc.array(operation, { minLength: 1, maxLength: 3 }),
    repeat: fc.boolean(),
    confirm: fc.boolean(),
    restore: fc.boolean(),
  }),
  { maxLength: 30 },
);

describe("edits", () => {
  // Guards against an edit that is lost, applied twice or half, answered
  // differently on a resend, or changed by a snapshot, and against changes
  // since a revision that do not lead to the current tree.
  test("agree with a naive tree over random histories", () => {
    fc.assert(
      fc.property(steps, (history) => {
        const machine = new ControlStateMachine();
        const model = new NaiveTree();
        let state = machine.initial();
        let follower = { revision: 1 as Revision, tree: {} as Tree };
        let last: Edit | undefined;
        for (const [index, step] of history.entries()) {
          const edit: Edit = step.repeat && last ? last : {
            editId: step.editId as EditId,
            expectedRevision: (model.revision + step.distance) as Revision,
            operations: step.operations,
            author: "operator",
          };
          last = edit;
          const command = { type: "edit", edit, at: index } as const;
          const answer = machine.apply(state, command, index);
          expect(answer).toEqual({ type: "edit", result: model.edit(edit) });
          expect(state.tree).toEqual(model.tree);
          expect(state.revision).toBe(model.revision);
          if (step.confirm) follower = confirm(state, follower);
          if (step.confirm) expect(follower.tree).toEqual(model.tree);
          if (step.restore) {
            const data = decode(encode(machine.snapshot(state)));
            state = machine.restore(data);
          }
        }
      }),
      { seed: 7, numRuns: 400 },
    );
  });

  function confirm(
    state: ReturnType<ControlStateMachine["initial"]>,
    follower: { revision: Revision; tree: Tree },
  ): { revision: Revision; tree: Tree } {
    const { revision, changes = [] } = controlQueries.confirm(
      state,
      follower,
    ) as Confirmation;
    const operations = changes.flatMap((change) => change.operations);
    return { revision, tree: applyOperations(follower.tree, operations) };
  }

  // Guards against accepting two edits with the same expected revision when
  // operators race, answers are lost and commands arrive late or twice.
  test("are linearizable while operators race and resend", async () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const group = flakyControlGroup({ seed, rate: 0.3 });
      const recorder = new CallRecorder<Edit, EditResult>();
      const operators = Array.from({ length: 3 }, async (_, operator) => {
        for (let round = 0; round < 3; round += 1) {
          const edit: Edit = {
            editId: `${operator}-${round}` as EditId,
            expectedRevision: (round + 1) as Revision,
            operations: [{ path: ["winner"], set: operator }],
            author: `${operator}`,
          };
          const at = 0;
          const perform = async () => {
            const answer = await group.propose({ type: "edit", edit, at });
            return (answer as ControlResult & { type: "edit" }).result;
          };
          const options = { perform, isUnknown: isNoQuorum };
          const answer = await recorder.run(edit, options);
          if (!answer) await recorder.run(edit, options);
        }
      });
      await Promise.all(operators);
      const ordered = isLinearizable(recorder.calls, {
        initial: { revision: 1, answers: {} as Record<string, EditResult> },
        step: (state, edit) => {
          const first = state.answers[edit.editId];
          if (first) return { state, answer: first };
          const won = edit.expectedRevision === state.revision;
          const revision = (state.revision + (won ? 1 : 0)) as Revision;
          const type = won ? "accepted" : "conflict";
          const answer: EditResult = { type, revision };
          const answers = { ...state.answers, [edit.editId]: answer };
          return { state: { revision, answers }, answer };
        },
      });
      expect({ seed, ordered }).toEqual({ seed, ordered: true });
    }
  });
});

describe("EditClient", () => {
  const edit: Edit = {
    editId: "edit-1" as EditId,
    expectedRevision: 1 as Revision,
    operations: [{ path: ["fleet"], set: { share: 1 } }],
    author: "operator",
  };

  // Guards against an edit that takes effect twice when its answer was lost.
  test("repeats the first answer to a resend, on any host", async () => {
    const group = flakyControlGroup();
    const client = new EditClient({ group, validate: () => [] });
    const other = new EditClient({ group, validate: () => [] });
    expect(await client.submit(edit)).toBe(2);
    expect(await other.submit(edit)).toBe(2);
    expect(await client.history(10)).toHaveLength(1);
  });

  // Guards against accepting both edits, or a conflict without a revision to
  // rebase on.
  test("reports the current revision in a conflict", async () => {
    const group = flakyControlGroup();
    const client = new EditClient({ group, validate: () => [] });
    await client.submit(edit);
    const late = { ...edit, editId: "edit-2" as EditId };
    const refusal = await client.submit(late).catch((error) => error);
    expect(refusal).toBeInstanceOf(RevisionConflictError);
    expect(refusal.currentRevision).toBe(2);
    expect(refusal.outcome).toBe("not_run");
  });

  // Guards against an invalid tree in force on every host.
  test("refuses a tree that the validator rejects", async () => {
    const group = flakyControlGroup();
    const validate = (tree: Tree) => "fleet" in tree ? ["Bad fleet"] : [];
    const client = new EditClient({ group, validate });
    await expect(client.submit(edit)).rejects.toMatchObject({
      kind: "invalid_request",
      message: "Bad fleet",
    });
    expect(group.inner.state.revision).toBe(1);
  });

  // Guards against the outcome "not run" for an edit that was proposed.
  test("reports may_have_run when the answer to a proposal is lost", async () => {
    const group = flakyControlGroup();
    const client = new EditClient({ group, validate: () => [] });
    const propose = group.propose.bind(group);
    group.propose = async (command) => {
      await propose(command);
      throw new RhubarbstageError("no_quorum", { outcome: "may_have_run" });
    };
    const lost = { kind: "no_quorum", outcome: "may_have_run" };
    const unanswered = client.submit(edit, { timeout: 10 });
    await expect(unanswered).rejects.toMatchObject(lost);
    expect(await client.submit(edit)).toBe(2);
    group.inner.stopLeading();
    const unproposed = client.submit(edit, { timeout: 10 });
    const refused = { kind: "no_quorum", outcome: "not_run" };
    await expect(unproposed).rejects.toMatchObject(refused);
  });

  // Guards against edits through a host that cannot confirm its configuration.
  test("refuses edits on an isolated host", async () => {
    const group = flakyControlGroup();
    const validate = () => [];
    const client = new EditClient({ group, validate, isolated: () => true });
    await expect(client.submit(edit)).rejects.toMatchObject({
      kind: "isolated",
      outcome: "not_run",
    });
  });
});
