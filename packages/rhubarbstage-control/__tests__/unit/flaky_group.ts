/**
 * A replicated group in memory that loses, delays and repeats commands.
 *
 * @module
 */

import { type GroupName, RhubarbstageError, SeededRandom } from "rhubarbstage";
import {
  type GroupDefinition,
  InMemoryGroup,
  ReplicatedGroup,
} from "@rhubarbstage/replica";
import {
  type ControlCommand,
  controlQueries,
  type ControlResult,
  type ControlState,
  ControlStateMachine,
  type JournalCommand,
  journalQueries,
  type JournalResult,
  type JournalState,
  JournalStateMachine,
} from "../../src/mod.ts";

/** Rate of faulty calls, and the seed that selects them. */
export interface Flakiness {
  readonly seed: number;
  /** Between 0 and 1. */
  readonly rate: number;
}

type Fault = "lost" | "answer_lost" | "late" | "repeated";

const faults: readonly Fault[] = ["lost", "answer_lost", "late", "repeated"];

export class FlakyGroup<State, Command, Result>
  extends ReplicatedGroup<Command, Result> {
  readonly inner: InMemoryGroup<State, Command, Result>;
  #random: SeededRandom;
  #rate: number;
  #delayed: Command[] = [];

  constructor(
    definition: GroupDefinition<State, Command, Result>,
    options: Flakiness,
  ) {
    super();
    const name = "test" as GroupName;
    this.inner = new InMemoryGroup(definition, { name });
    this.#random = new SeededRandom(options.seed);
    this.#rate = options.rate;
  }

  override async propose(command: Command): Promise<Result> {
    await this.#yieldToEventLoop();
    await this.#applyDelayed();
    const fault = this.#random.next() < this.#rate
      ? this.#random.pick(faults)
      : undefined;
    if (fault === "late" || fault === "repeated") this.#delayed.push(command);
    if (fault === "lost" || fault === "late") throw noAnswerError();
    const result = await this.inner.propose(command);
    await this.#yieldToEventLoop();
    if (fault === "answer_lost") throw noAnswerError();
    return result;
  }

  override async query<Answer>(
    name: string,
    argument: unknown,
  ): Promise<Answer> {
    await this.#yieldToEventLoop();
    const answer = await this.inner.query<Answer>(name, argument);
    await this.#yieldToEventLoop();
    if (this.#random.next() < this.#rate) throw noAnswerError();
    return answer;
  }

  override queryUncommitted<Answer>(
    name: string,
    argument: unknown,
  ): Promise<readonly Answer[]> {
    return this.inner.queryUncommitted<Answer>(name, argument);
  }

  /** Applies the commands that are still delayed. */
  async applyAllDelayed(): Promise<void> {
    while (this.#delayed.length > 0) {
      await this.inner.propose(this.#delayed.shift() as Command);
    }
  }

  async #applyDelayed(): Promise<void> {
    if (this.#delayed.length === 0 || this.#random.next() < 0.5) return;
    const position = this.#random.integer(this.#delayed.length);
    const [command] = this.#delayed.splice(position, 1);
    await this.inner.propose(command as Command);
  }

  async #yieldToEventLoop(): Promise<void> {
    const turns = this.#random.integer(4);
    for (let turn = 0; turn < turns; turn += 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

function noAnswerError(): RhubarbstageError {
  return new RhubarbstageError("no_quorum", { outcome: "may_have_run" });
}

export function flakyControlGroup(
  options: Flakiness = { seed: 1, rate: 0 },
): FlakyGroup<ControlState, ControlCommand, ControlResult> {
  const stateMachine = new ControlStateMachine();
  return new FlakyGroup({ stateMachine, queries: controlQueries }, options);
}

export function flakyJournalGroup(
  options: Flakiness = { seed: 1, rate: 0 },
): FlakyGroup<JournalState, JournalCommand, JournalResult> {
  const stateMachine = new JournalStateMachine();
  return new FlakyGroup({ stateMachine, queries: journalQueries }, options);
}
