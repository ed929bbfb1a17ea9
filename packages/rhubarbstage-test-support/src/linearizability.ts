/**
 * Linearizability check of recorded histories of concurrent calls.
 *
 * @module
 */

/** One call of a history. */
export interface RecordedCall<Call, Answer> {
  readonly call: Call;
  /** Sequence number of the start among all starts and ends. */
  readonly startedAt: number;
  /** Sequence number of the end; infinite when no answer was received. */
  readonly endedAt: number;
  /** Absent when it is unknown whether the call took effect. */
  readonly answer?: Answer;
}

/** A sequential model whose states are immutable. */
export interface SequentialModel<State, Call, Answer> {
  readonly initial: State;
  /** Returns the state after a call and its answer. */
  step(state: State, call: Call): { state: State; answer: Answer };
}

/** Records calls with the order of their starts and ends. */
export class CallRecorder<Call, Answer> {
  readonly calls: RecordedCall<Call, Answer>[] = [];
  #order = 0;

  /**
   * Runs and records a call. An error that satisfies `isUnknown` is recorded as
   * a call that may have taken effect; other errors are rethrown.
   */
  async run(
    call: Call,
    options: {
      readonly perform: () => Promise<Answer>;
      readonly isUnknown: (error: unknown) => boolean;
    },
  ): Promise<Answer | undefined> {
    const startedAt = this.#order++;
    try {
      const answer = await options.perform();
      this.calls.push({ call, startedAt, endedAt: this.#order++, answer });
      return answer;
    } catch (error) {
      if (!options.isUnknown(error)) throw error;
      this.calls.push({ call, startedAt, endedAt: Infinity });
      return undefined;
    }
  }
}

/**
 * Returns whether some order of the calls, each between its start and its end,
 * produces the recorded answers in the model. Searches depth first (Wing and
 * Gong) and caches visited pairs of remaining calls and state.
 */
export function isLinearizable<State, Call, Answer>(
  history: readonly RecordedCall<Call, Answer>[],
  model: SequentialModel<State, Call, Answer>,
): boolean {
  const calls = [...history].sort((left, right) =>
    left.startedAt - right.startedAt
  );
  const visited = new Set<string>();
  const indices = calls.map((_, index) => index);
  return search(model.initial, indices);

  function search(state: State, remaining: readonly number[]): boolean {
    const answered = remaining.filter((index) => isAnswered(calls[index]));
    if (answered.length === 0) return true;
    const visitedKey = JSON.stringify([remaining, state]);
    if (visited.has(visitedKey)) return false;
    visited.add(visitedKey);
    const firstEnd = Math.min(
      ...remaining.map((index) => calls[index]?.endedAt ?? Infinity),
    );
    return remaining.some((index) =>
      tryNext(index, { state, remaining, firstEnd })
    );
  }

  function tryNext(
    index: number,
    node: { state: State; remaining: readonly number[]; firstEnd: number },
  ): boolean {
    const recorded = calls[index] as RecordedCall<Call, Answer>;
    if (recorded.startedAt > node.firstEnd) return false;
    const next = model.step(node.state, recorded.call);
    // An unanswered call without an effect needs no place in the order.
    const fits = recorded.answer === undefined
      ? !isSame(next.state, node.state)
      : isSame(next.answer, recorded.answer);
    if (!fits) return false;
    return search(
      next.state,
      node.remaining.filter((other) => other !== index),
    );
  }

  function isAnswered(
    recorded: RecordedCall<Call, Answer> | undefined,
  ): boolean {
    return recorded?.answer !== undefined;
  }
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
