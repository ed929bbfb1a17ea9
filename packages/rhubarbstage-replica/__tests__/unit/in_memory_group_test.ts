import { RhubarbstageError } from "rhubarbstage";
import { InMemoryGroup, StateMachine } from "../../src/mod.ts";

class Counter extends StateMachine<{ total: number }, number, number> {
  override initial(): { total: number } {
    return { total: 0 };
  }

  override apply(state: { total: number }, command: number): number {
    state.total += command;
    return state.total;
  }

  override snapshot(state: { total: number }): unknown {
    return state.total;
  }

  override restore(data: unknown): { total: number } {
    return { total: data as number };
  }
}

describe("InMemoryGroup", () => {
  // Guards against a test double that answers where a real group would not.
  test("applies commands in order and refuses without leadership", async () => {
    const group = new InMemoryGroup({
      stateMachine: new Counter(),
      queries: { total: (state) => state.total },
    });
    expect(await group.propose(2)).toBe(2);
    expect(await group.propose(3)).toBe(5);
    expect(await group.query("total", null)).toBe(5);
    group.stopLeading();
    await expect(group.propose(1)).rejects.toThrow(RhubarbstageError);
    group.startLeading();
    expect(await group.confirmLeadership()).toBe(2);
  });
});
