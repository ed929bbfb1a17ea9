import { type EditId, ManualClock, type Revision } from "rhubarbstage";
import {
  ConfigurationClient,
  type ConfigurationClientOptions,
  type Confirmation,
  type ControlGroup,
  type TreeOperation,
} from "../../src/mod.ts";
import { flakyControlGroup } from "./flaky_group.ts";

let edits = 0;

async function edit(
  group: ReturnType<typeof flakyControlGroup>,
  operations: readonly TreeOperation[],
): Promise<void> {
  edits += 1;
  const expectedRevision = group.inner.state.revision;
  const editId = `edit-${edits}` as EditId;
  const content = { editId, expectedRevision, operations, author: "operator" };
  await group.inner.propose({ type: "edit", edit: content, at: 0 });
}

function clientOf(options: Partial<ConfigurationClientOptions> = {}) {
  const clock = new ManualClock();
  const group = options.group ?? flakyControlGroup();
  const { signal } = new AbortController();
  const allOptions = { group, signal, clock, ...options } as const;
  return { client: new ConfigurationClient(allOptions), clock };
}

/** A group whose queries the test answers, in any order. */
function manualGroup() {
  const answers: ((answer: Confirmation) => void)[] = [];
  const query = () =>
    new Promise((resolve) => {
      answers.push(resolve as (answer: Confirmation) => void);
    });
  return { group: { query } as unknown as ControlGroup, answers };
}

function confirmation(revision: number, drains: string[] = []): Confirmation {
  return {
    revision: revision as Revision,
    tree: { revision },
    drains: drains as unknown as Confirmation["drains"],
    drainVersion: drains.length,
  };
}

describe("ConfigurationClient", () => {
  // Guards against serving on an empty tree after a restart without a quorum.
  test("is ready only after the first confirmation", async () => {
    const group = flakyControlGroup();
    const { client } = clientOf({ group });
    group.inner.stopLeading();
    await expect(client.confirm()).rejects.toThrow();
    expect(client.ready).toBe(false);
    expect(client.isolated).toBe(true);
    expect(() => client.configuration).toThrow("no configuration");
    group.inner.startLeading();
    await client.confirm();
    await client.whenReady();
    expect(client.configuration.revision).toBe(1);
  });

  // Guards against a host that uses an old revision for longer than the limit:
  // the answer may have been in flight for seconds.
  test("counts the age of a confirmation from its request", async () => {
    const { group, answers } = manualGroup();
    const { client, clock } = clientOf({ group });
    const confirming = client.confirm();
    clock.advance(4_000);
    answers[0]?.(confirmation(1));
    await confirming;
    expect(client.confirmationAge).toBe(4_000);
    clock.advance(2_000);
    expect(client.isolated).toBe(false);
    clock.advance(1);
    expect(client.isolated).toBe(true);
    expect(client.configuration.revision).toBe(1);
  });

  // Guards against a revision or drain that a late, older answer reverts.
  test("ignores an older answer that arrives after a newer one", async () => {
    const { group, answers } = manualGroup();
    const { client, clock } = clientOf({ group });
    const first = client.confirm();
    clock.advance(1_000);
    const second = client.confirm();
    answers[1]?.(confirmation(3, ["engine-1"]));
    await second;
    answers[0]?.(confirmation(2));
    await first;
    expect(client.configuration.revision).toBe(3);
    expect([...client.configuration.drains]).toEqual(["engine-1"]);
    expect(client.confirmationAge).toBe(0);
  });

  // Guards against a group that lost its state and would revert hosts.
  test("rejects a confirmation of an earlier revision", async () => {
    const { group, answers } = manualGroup();
    const { client, clock } = clientOf({ group });
    const first = client.confirm();
    answers[0]?.(confirmation(5));
    await first;
    clock.advance(6_001);
    const second = client.confirm();
    answers[1]?.(confirmation(4));
    await expect(second).rejects.toThrow("confirmed revision 4 after");
    expect(client.configuration.revision).toBe(5);
    expect(client.isolated).toBe(true);
  });

  // Guards against a host that stays behind because the history is truncated.
  test("reads the whole tree when the history lacks the changes", async () => {
    const group = flakyControlGroup();
    const { client } = clientOf({ group });
    await client.confirm();
    for (let number = 0; number < 2_001; number += 1) {
      await edit(group, [{ path: ["share"], set: number }]);
    }
    await client.confirm();
    expect(client.configuration.tree).toEqual({ share: 2_000 });
    expect(client.configuration.revision).toBe(2_002);
  });

  // Guards against lost, doubled or reverted changes on a lossy path.
  test("follows edits on a lossy path without reverting", async () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const group = flakyControlGroup({ seed, rate: 0.3 });
      const seen: number[] = [];
      const { client } = clientOf({
        group,
        onConfiguration: ({ revision }) => seen.push(revision),
      });
      for (let round = 0; round < 20; round += 1) {
        const path = ["fleet", `branch-${round % 3}`];
        const editing = edit(group, [{ path, set: round }]);
        await Promise.allSettled([client.confirm(), client.confirm(), editing]);
      }
      const { revision } = group.inner.state;
      for (let tries = 0; tries < 20; tries += 1) {
        if (client.configuration.revision === revision) break;
        await client.confirm().catch(() => {});
      }
      expect(seen).toEqual([...seen].sort((left, right) => left - right));
      expect(client.configuration.tree).toEqual(group.inner.state.tree);
    }
  });
});
