/** A state machine whose commands are idempotent by id. */
import type { GroupName } from "rhubarbstage";
import { type GroupDefinition, StateMachine } from "../../src/mod.ts";

export interface Append {
  readonly id: string;
}

export interface Register {
  ids: string[];
  known: Set<string>;
}

class RegisterMachine extends StateMachine<Register, Append, number> {
  override initial(): Register {
    return { ids: [], known: new Set() };
  }

  override apply(state: Register, command: Append): number {
    if (state.known.has(command.id)) return state.ids.indexOf(command.id) + 1;
    state.known.add(command.id);
    return state.ids.push(command.id);
  }

  override snapshot(state: Register): unknown {
    return state.ids;
  }

  override restore(data: unknown): Register {
    const ids = data as string[];
    return { ids: [...ids], known: new Set(ids) };
  }
}

export const control = "control" as GroupName;
export const journal = "journal-0" as GroupName;

export const register: GroupDefinition<Register, Append, number> = {
  stateMachine: new RegisterMachine(),
  queries: {
    count: (state) => state.ids.length,
    ids: (state) => state.ids,
  },
};

export const groups = new Map([[control, register], [journal, register]]);
