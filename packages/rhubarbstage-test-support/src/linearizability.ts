/**
 * Check of recorded histories of concurrent calls.
 *
 * @module
 */

/** One call of a history. */
export interface RecordedCall<Call, Answer> {
  readonly call: Call;
  /** Order of the start among all starts and ends. */
  readonly startedAt: number;
  /** Order of the end; infinite when the caller never learned the answer. */
  readonly endedAt: number;
  /** Absent when the call may have taken effect or not. */
  readonly answer?: Answer;
}

/** A sequential model whose states are immutable. */
export interface SequentialModel<State, Call, Answer> {
  readonly initial: State;
  /** State and answer after a call. */
  step(state: State, call: Call): { state: State; answer: Answer };
}

/** Records calls with the order of their starts and ends. */
export class CallRecorder<Call, Answer> {
  readonly calls: RecordedCall<Call, Answer>[] = [];
  #order = 0;

  /**
   * Runs a call. An error for which `isUnknown` holds is recorded as a call
   * that may have taken effect; other errors are passed on.
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
 * Whether some order of the calls, each between its start and its end, gives
 * the recorded answers in the model. Searches depth first (Wing and Gong) and
 * remembers visited pairs of finished calls and state.
 */
export function isLinearizable<State, Call, Answer>(
  history: readonly RecordedCall<Call, Answer>[],
  model: SequentialModel<State, Call, Answer>,
): boolean {
  const calls = [...history].sort((left, right) =>
    left.startedAt - right.startedAt
  );
  const visited = new Set<string>();
  const open = calls.map((_, number) => number);
  return search(model.initial, open);

  function search(state: State, left: readonly number[]): boolean {
    const known = left.filter((number) => isKnown(calls[number]));
    if (known.length === 0) return true;
    const mark = JSON.stringify([left, state]);
    if (visited.has(mark)) return false;
    visited.add(mark);
    const firstEnd = Math.min(
      ...left.map((number) => calls[number]?.endedAt ?? Infinity),
    );
    return left.some((number) => tryNext(number, { state, left, firstEnd }));
  }

  function tryNext(
    number: number,
    at: { state: State; left: readonly number[]; firstEnd: number },
  ): boolean {
    const recorded = calls[number] as RecordedCall<Call, Answer>;
    if (recorded.startedAt > at.firstEnd) return false;
    const next = model.step(at.state, recorded.call);
    // An unanswered call without an effect need not be placed anywhere.
    const fits = recorded.answer === undefined
      ? !isSame(next.state, at.state)
      : isSame(next.answer, recorded.answer);
    if (!fits) return false;
    return search(next.state, at.left.filter((other) => other !== number));
  }

  function isKnown(recorded: RecordedCall<Call, Answer> | undefined): boolean {
    return recorded?.answer !== undefined;
  }
}

function isSame(left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}
