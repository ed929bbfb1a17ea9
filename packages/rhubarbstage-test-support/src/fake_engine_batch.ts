/**
 * Continuous batching of the fake engine.
 *
 * @module
 */

/** Speeds of a batch. */
export interface FakeBatchSpeed {
  /** Prompt tokens per second, shared by all sequences in prefill. */
  readonly prefillTokensPerSecond: number;
  /** Output tokens per second of each sequence. */
  readonly decodeTokensPerSecond: number;
  /** Relative growth of the time per step with each further sequence. */
  readonly batchSlowdown: number;
}

/** One sequence of a batch. */
export interface FakeSequence {
  readonly priority: number;
  /** Prompt tokens that remain to be computed. */
  prefillTokens: number;
  /** Position of the next token. */
  position: number;
  /** Position at which the sequence ends. */
  readonly limit: number;
  /** Whether backpressure or a stall pauses the output of the sequence. */
  blocked(): boolean;
  /** Called when the sequence is assigned to a slot. */
  onStart(): void;
  /** Called when the prompt is computed. */
  onPrefilled(): void;
  /** Called with the positions of new tokens; `to` is exclusive. */
  onTokens(from: number, to: number): void;
  /** Called when the sequence is complete. */
  onFinish(): void;
}

interface Slot {
  readonly sequence: FakeSequence;
  prefilled: boolean;
  /** Decode progress in tokens that has not been emitted yet. */
  credit: number;
}

/** Sequences that run together in a bounded number of slots. */
export class FakeBatch {
  #slots: number;
  #running = new Map<FakeSequence, Slot>();
  #waiting: FakeSequence[] = [];

  constructor(slots: number) {
    this.#slots = slots;
  }

  get running(): number {
    return this.#running.size;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  /** Queues a sequence behind those of the same or a higher priority. */
  add(sequence: FakeSequence): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority < sequence.priority
    );
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, sequence);
    this.#fill();
  }

  /** Removes a running or waiting sequence. */
  remove(sequence: FakeSequence): void {
    this.#running.delete(sequence);
    this.#waiting = this.#waiting.filter((other) => other !== sequence);
    this.#fill();
  }

  /** Advances the batch by a time in milliseconds. */
  step(milliseconds: number, speed: FakeBatchSpeed): void {
    const size = this.#running.size;
    if (size === 0) return;
    const seconds = milliseconds / 1_000 /
      (1 + speed.batchSlowdown * (size - 1));
    const slots = [...this.#running.values()];
    const prefilling = slots.filter((slot) => !slot.prefilled);
    const decoding = slots.filter((slot) => slot.prefilled);
    const share = seconds * speed.prefillTokensPerSecond / prefilling.length;
    for (const slot of prefilling) this.#prefill(slot, share);
    const tokens = seconds * speed.decodeTokensPerSecond;
    for (const slot of decoding) this.#decode(slot, tokens);
  }

  #fill(): void {
    while (this.#running.size < this.#slots) {
      const sequence = this.#waiting.shift();
      if (!sequence) return;
      this.#running.set(sequence, { sequence, prefilled: false, credit: 0 });
      sequence.onStart();
    }
  }

  #prefill(slot: Slot, tokens: number): void {
    const { sequence } = slot;
    sequence.prefillTokens -= tokens;
    if (sequence.prefillTokens > 0) return;
    slot.prefilled = true;
    sequence.onPrefilled();
    // The step that completes the prompt also yields the first token.
    this.#decode(slot, 1);
  }

  #decode(slot: Slot, tokens: number): void {
    const { sequence } = slot;
    if (!this.#running.has(sequence) || sequence.blocked()) return;
    slot.credit += tokens;
    const from = sequence.position;
    const to = Math.min(sequence.limit, from + Math.floor(slot.credit));
    if (to > from) {
      slot.credit -= to - from;
      sequence.position = to;
      sequence.onTokens(from, to);
    }
    if (to < sequence.limit) return;
    this.remove(sequence);
    sequence.onFinish();
  }
}
