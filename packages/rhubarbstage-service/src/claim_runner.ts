/**
 * Runs calls to plain services at most once.
 *
 * @module
 */

import { createHash, randomUUID } from "node:crypto";
import {
  type AttemptId,
  type ClaimKey,
  type Clock,
  delay,
  RhubarbstageError,
  SystemClock,
  toRhubarbstageError,
} from "rhubarbstage";
import {
  callUntilSuccess,
  callWithRetry,
  type ClaimAttempt,
  claimKeyOf,
  type ClaimView,
  type JournalResult,
  type StoredAnswer,
  storedBodyByteLimit,
} from "@rhubarbstage/control";
import {
  claimPollInterval,
  claimTimeout,
  idempotencyKeyLimit,
  maxResponseBytes,
  maxRunningCalls,
  releaseCommitTimeout,
  responseTimeout,
  sendWindow,
} from "./constants.ts";
import { sendOnce, type SendResult } from "./single_send.ts";
import type {
  ClaimedCall,
  ClaimEvent,
  ClaimRunnerOptions,
  ServiceRequest,
  ServiceResponse,
  ServiceTarget,
} from "./types.ts";

type OpenClaim = Extract<ClaimView, { type: "open" }>;

/** Returns the SHA-256 of method, path and body, to detect a reused key. */
export function requestHashOf(request: ServiceRequest): string {
  return createHash("sha256")
    .update(JSON.stringify([request.method, request.path]))
    .update(request.body)
    .digest("hex");
}

/**
 * Runs calls that must not run twice. The outcome `not_run` concerns only the
 * request that was refused: earlier requests with the same key may have run if
 * the journal was not reachable.
 */
export class ClaimRunner {
  #options: ClaimRunnerOptions;
  #clock: Clock;
  #runningCalls = 0;
  #pending = new Set<Promise<unknown>>();

  constructor(options: ClaimRunnerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new SystemClock();
  }

  /** Number of running calls and of claims whose end is not committed yet. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Resolves when no call runs and the end of each claim is committed. */
  async waitUntilIdle(): Promise<void> {
    while (this.#pending.size > 0) await Promise.allSettled(this.#pending);
  }

  /**
   * Claims the key, sends the request once and stores the response, or replays
   * a stored response. Throws `RhubarbstageError` with the actual outcome.
   */
  async run(call: ClaimedCall): Promise<ServiceResponse> {
    const key = this.#validateCall(call);
    const bodyHash = requestHashOf(call.request);
    let pollInterval: number = claimPollInterval.first;
    while (true) {
      const attempt = randomUUID() as AttemptId;
      const result = await this.#claim({ key, attempt, bodyHash }, call);
      const answer = await this.#handleClaimResult(
        result,
        { key, attempt },
        call,
      );
      if (answer !== undefined) return answer;
      if (result.type === "held") {
        pollInterval = await this.#waitWhileOpen(
          { key, bodyHash },
          call,
          pollInterval,
        );
      }
    }
  }

  #validateCall(call: ClaimedCall): ClaimKey {
    const { customer, service, idempotencyKey } = call;
    if (!idempotencyKey) throw new RhubarbstageError("idempotency_key_missing");
    if (idempotencyKey.length > idempotencyKeyLimit) {
      throw new RhubarbstageError("invalid_request", {
        message: `Idempotency-Key has ${idempotencyKey.length} characters, ` +
          `more than ${idempotencyKeyLimit}`,
      });
    }
    if (this.#options.isolated?.()) {
      throw new RhubarbstageError("no_quorum", {
        message: "This host cannot confirm its configuration",
      });
    }
    if (this.#runningCalls >= maxRunningCalls) {
      throw new RhubarbstageError("overloaded", { retryAfterSeconds: 1 });
    }
    return claimKeyOf({ customer, service, idempotencyKey });
  }

  /** Proposes a claim and releases it in the background on failure. */
  async #claim(
    claim: ClaimAttempt & { readonly bodyHash: string },
    call: ClaimedCall,
  ): Promise<JournalResult> {
    const remaining = call.deadlineAt - this.#clock.monotonicMilliseconds();
    const timeout = Math.min(Math.max(remaining, 0), claimTimeout);
    try {
      return await callWithRetry(
        (options) => this.#options.journal.claim(claim, options),
        { timeout },
      );
    } catch (error) {
      void this.#release(claim);
      throw new RhubarbstageError("no_quorum", {
        outcome: "not_run",
        cause: error,
      });
    }
  }

  /** Returns the response, or undefined if the claim must be retried. */
  #handleClaimResult(
    result: JournalResult,
    claim: ClaimAttempt,
    call: ClaimedCall,
  ): Promise<ServiceResponse> | ServiceResponse | undefined {
    switch (result.type) {
      case "granted":
        return this.#executeClaim(claim, call);
      case "reused":
        throw new RhubarbstageError("idempotency_key_reused");
      case "full":
        throw new RhubarbstageError("overloaded", {
          message: "The claim journal is full",
          retryAfterSeconds: 60,
        });
      case "held":
        return storedResponseOf(result.claim);
      case "attempt_ended":
      case "recorded":
        return undefined;
    }
  }

  /** Polls until an open claim has ended; returns the last poll interval. */
  async #waitWhileOpen(
    claim: { readonly key: ClaimKey; readonly bodyHash: string },
    call: ClaimedCall,
    firstInterval: number,
  ): Promise<number> {
    let pollInterval = firstInterval;
    while (true) {
      const view = await this.#readClaim(claim.key);
      if (view?.type === "open") await this.#abandonIfReplaced(claim.key, view);
      else if (view !== undefined) return pollInterval;
      const remaining = call.deadlineAt - this.#clock.monotonicMilliseconds();
      if (remaining <= pollInterval || call.signal?.aborted) {
        throw new RhubarbstageError("claim_in_progress", {
          retryAfterSeconds: 1,
        });
      }
      await delay(pollInterval);
      pollInterval = Math.min(
        pollInterval * claimPollInterval.growth,
        claimPollInterval.longest,
      );
    }
  }

  async #readClaim(key: ClaimKey): Promise<ClaimView | undefined> {
    try {
      return await this.#options.journal.readClaim(key, {
        timeout: claimPollInterval.longest,
      });
    } catch {
      return undefined;
    }
  }

  async #abandonIfReplaced(key: ClaimKey, open: OpenClaim): Promise<void> {
    const { claimer, attempt } = open;
    const self = this.#options.claimer;
    const newest = claimer.host === self.host
      ? self.incarnation
      : this.#options.newestIncarnation?.(claimer.host);
    if (newest === undefined || newest <= claimer.incarnation) return;
    try {
      const claim = { key, attempt, newer: newest };
      await this.#options.journal.abandon(claim, {
        timeout: claimPollInterval.longest,
      });
      this.#emitEvent("claim_abandoned", { key, attempt });
    } catch {
      // The next poll retries.
    }
  }

  async #executeClaim(
    claim: ClaimAttempt,
    call: ClaimedCall,
  ): Promise<ServiceResponse> {
    const grantedAt = this.#clock.monotonicMilliseconds();
    this.#emitEvent("claim_granted", claim);
    const target = await this.#acquireTarget(claim, call);
    // Continues after the caller disconnects, so that a resend gets the result.
    this.#runningCalls += 1;
    const sending = this.#send(claim, call, { target, grantedAt })
      .finally(() => this.#runningCalls -= 1);
    this.#track(sending);
    return await this.#waitUntilDeadline(sending, call);
  }

  async #acquireTarget(
    claim: ClaimAttempt,
    call: ClaimedCall,
  ): Promise<ServiceTarget> {
    try {
      return await call.acquireTarget();
    } catch (thrown) {
      await this.#releaseWithTimeout(claim);
      const error = toRhubarbstageError(thrown);
      const { kind, message, retryAfterSeconds } = error;
      const cause = thrown;
      throw new RhubarbstageError(kind, {
        message,
        outcome: "not_run",
        retryAfterSeconds,
        cause,
      });
    }
  }

  async #send(
    claim: ClaimAttempt,
    call: ClaimedCall,
    context: { readonly target: ServiceTarget; readonly grantedAt: number },
  ): Promise<ServiceResponse> {
    const { target, grantedAt } = context;
    let refusal: RhubarbstageError | undefined;
    const result = await sendOnce(target.address, call.request, {
      responseTimeout: this.#options.responseTimeout ?? responseTimeout,
      maxResponseBytes: this.#options.maxResponseBytes ?? maxResponseBytes,
      mayWrite: () => {
        refusal = this.#checkBeforeWrite(call, grantedAt);
        return refusal === undefined;
      },
    });
    call.onTargetDone?.({
      target,
      outcome: outcomeOf(result),
      connectionLost: result.type === "not_run" || result.type === "unknown",
    });
    if (refusal === undefined) return await this.#recordResult(claim, result);
    await this.#releaseWithTimeout(claim);
    throw refusal;
  }

  /** Checks again before the first byte; the process may have been paused. */
  #checkBeforeWrite(
    call: ClaimedCall,
    grantedAt: number,
  ): RhubarbstageError | undefined {
    const now = this.#clock.monotonicMilliseconds();
    const window = this.#options.sendWindow ?? sendWindow;
    const isLate = now - grantedAt > window || now > call.deadlineAt;
    if (isLate || call.signal?.aborted) {
      return new RhubarbstageError("deadline_exceeded", { outcome: "not_run" });
    }
    if (!this.#options.isolated?.()) return undefined;
    return new RhubarbstageError("no_quorum", { outcome: "not_run" });
  }

  async #recordResult(
    claim: ClaimAttempt,
    result: SendResult,
  ): Promise<ServiceResponse> {
    switch (result.type) {
      case "answered": {
        const { notRun, type: _type, ...rest } = result;
        if (notRun) await this.#releaseWithTimeout(claim);
        else this.#settle(claim, storedAnswerOf(result));
        const outcome = notRun ? "not_run" : "ran";
        return { ...rest, outcome, replayed: false };
      }
      case "too_large": {
        const { status, digest } = result;
        this.#settle(claim, { status, headers: {}, digest });
        throw new RhubarbstageError("backend_failed", {
          outcome: "ran",
          message: "The service ran the request; its answer exceeds " +
            `${this.#options.maxResponseBytes ?? maxResponseBytes} bytes`,
        });
      }
      case "not_run":
        await this.#releaseWithTimeout(claim);
        throw new RhubarbstageError("backend_unreachable", {
          outcome: "not_run",
          cause: result.message,
        });
      case "unknown":
        this.#commit(
          "claim_unknown",
          claim,
          (options) => this.#options.journal.markUnknown(claim, options),
        );
        throw new RhubarbstageError("backend_failed", {
          outcome: "may_have_run",
          cause: result.message,
        });
    }
  }

  async #waitUntilDeadline(
    sending: Promise<ServiceResponse>,
    call: ClaimedCall,
  ): Promise<ServiceResponse> {
    const waiting = new AbortController();
    const stopWaiting = () => waiting.abort();
    call.signal?.addEventListener("abort", stopWaiting, { once: true });
    if (call.signal?.aborted) stopWaiting();
    const remaining = call.deadlineAt - this.#clock.monotonicMilliseconds();
    const deadline = delay(Math.max(remaining, 0), { signal: waiting.signal })
      .catch(() => {})
      .then(() => {
        throw new RhubarbstageError("deadline_exceeded", {
          outcome: "may_have_run",
        });
      });
    try {
      return await Promise.race([sending, deadline]);
    } finally {
      call.signal?.removeEventListener("abort", stopWaiting);
      deadline.catch(() => {});
      waiting.abort();
    }
  }

  #settle(claim: ClaimAttempt, answer: StoredAnswer): void {
    const { key, attempt } = claim;
    this.#commit(
      "claim_settled",
      claim,
      (options) =>
        this.#options.journal.settle({ key, attempt, answer }, options),
    );
  }

  #release(claim: ClaimAttempt): Promise<void> {
    const { key, attempt } = claim;
    return this.#commit(
      "claim_released",
      claim,
      (options) => this.#options.journal.release({ key, attempt }, options),
    );
  }

  async #releaseWithTimeout(claim: ClaimAttempt): Promise<void> {
    const waiting = new AbortController();
    const { signal } = waiting;
    const timeout = delay(releaseCommitTimeout, { signal }).catch(() => {});
    await Promise.race([this.#release(claim), timeout]);
    waiting.abort();
  }

  /** Retries until the process ends; no other host has the claim's result. */
  #commit(
    event: ClaimEvent["event"],
    claim: ClaimAttempt,
    propose: Parameters<typeof callUntilSuccess<JournalResult>>[0],
  ): Promise<void> {
    const onFailure = (error: unknown) =>
      this.#emitEvent("claim_commit_failed", claim, String(error));
    const committing = callUntilSuccess(propose, { onFailure })
      .then(() => this.#emitEvent(event, claim));
    this.#track(committing);
    return committing;
  }

  #track(work: Promise<unknown>): void {
    const tracked = work.catch(() => {}).finally(() =>
      this.#pending.delete(tracked)
    );
    this.#pending.add(tracked);
  }

  #emitEvent(
    event: ClaimEvent["event"],
    claim: ClaimAttempt,
    detail?: string,
  ): void {
    const { key, attempt } = claim;
    this.#options.onEvent?.({ event, key, attempt, detail });
  }
}

function outcomeOf(result: SendResult): "not_run" | "may_have_run" | "ran" {
  switch (result.type) {
    case "answered":
      return result.notRun ? "not_run" : "ran";
    case "too_large":
      return "ran";
    case "not_run":
      return "not_run";
    case "unknown":
      return "may_have_run";
  }
}

function storedAnswerOf(
  answer: Extract<SendResult, { type: "answered" }>,
): StoredAnswer {
  const { status, headers, body } = answer;
  const digest = createHash("sha256").update(body).digest("hex");
  if (body.byteLength > storedBodyByteLimit) {
    return { status, headers: {}, digest };
  }
  return { status, headers, body, digest };
}

/** Response to a resend, or undefined while the claim is open or free. */
function storedResponseOf(claim: ClaimView): ServiceResponse | undefined {
  switch (claim.type) {
    case "settled": {
      const { status, headers, body } = claim.answer;
      if (body === undefined) throw new RhubarbstageError("answer_expired");
      return { status, headers, body, outcome: "ran", replayed: true };
    }
    case "expired":
      throw new RhubarbstageError("answer_expired");
    case "unknown":
      throw new RhubarbstageError("outcome_unknown");
    case "open":
    case "free":
      return undefined;
  }
}
