/** A state machine that appends each id once; its commands are idempotent. */
import type { GroupName } from "rhubarbstage";
import { type GroupDefinition, StateMachine } from "../../src/mod.ts";

export interface Append {
  readonly id: string;
}

export interface IdList {
  ids: string[];
  known: Set<string>;
}

class IdListMachine extends StateMachine<IdList, Append, number> {
  override initial(): IdList {
    return { ids: [], known: new Set() };
  }

  override apply(state: IdList, command: Append): number {
    if (state.known.has(command.id)) return state.ids.indexOf(command.id) + 1;
    state.known.add(command.id);
    return state.ids.push(command.id);
  }

  override snapshot(state: IdList): unknown {
    return state.ids;
  }

  override restore(data: unknown): IdList {
    const ids = data as string[];
    return { ids: [...ids], known: new Set(ids) };
  }
}

export const control = "control" as GroupName;
export const journal = "journal-0" as GroupName;

export const idList: GroupDefinition<IdList, Append, number> = {
  stateMachine: new IdListMachine(),
  queries: {
    count: (state) => state.ids.length,
    ids: (state) => state.ids,
  },
};

export const groups = new Map([[control, idList], [journal, idList]]);
