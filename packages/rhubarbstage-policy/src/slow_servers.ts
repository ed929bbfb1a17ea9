/**
 * Detects slow servers by comparing their latencies on this host with those of
 * their peers.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";
import { minTrafficWeight } from "./constants.ts";
import { DecayedSum } from "./decayed.ts";

/** Options of {@linkcode SlowServerDetector}. */
export interface SlowServerDetectorOptions {
  /** Multiple of the peers' latency above which a server counts as slow. */
  readonly threshold: number;
  /** Milliseconds between probes of a slow server. */
  readonly probeInterval: number;
}

/** Kind of an observed latency. */
export type LatencyKind = "first_token" | "between_tokens" | "call";

interface SmoothedRatio {
  /** Observed over expected latency. */
  value: number;
  samples: number;
  lastAt: number;
}

interface ServerLatency {
  readonly ratios: Map<LatencyKind, SmoothedRatio>;
  /** Part of its normal traffic that the server receives. */
  weight: number;
  lastDispatchAt: number;
  /** Factor on the probe interval; below 1 after a fast probe. */
  probeFactor: number;
}

interface WorstLatency {
  readonly kind: LatencyKind | undefined;
  readonly factor: number;
}

const bucketsPerDoubling = 4;
const bucketCount = 64;
const peerTimeConstant = 10_000;
/**
 * Milliseconds to reuse a median; recomputing took two thirds of decision time.
 */
const medianInterval = 50;
/** Samples of a latency kind needed before a server may count as slow. */
const minSamples = 3;
/** Smallest weight of a new sample in the smoothed ratio. */
const smoothing = 0.3;
/** Time constant with which older samples lose weight, in milliseconds. */
const sampleTimeConstant = 3_000;
/** Factor on the probe interval after a fast probe. */
const fastProbeFactor = 0.1;
/** Part of the distance to a lower target that a weight moves per sample. */
const reductionStep = 0.4;
/** The same towards a higher target; probes are rare, so each counts more. */
const recoveryStep = 0.7;

/**
 * Histogram of observed over expected latency of all servers of a pool, with
 * logarithmic buckets, so that the median costs the same for any pool size.
 */
class PeerRatios {
  #buckets = Array.from(
    { length: bucketCount },
    () => new DecayedSum(peerTimeConstant),
  );

  #median = 1;
  #medianAt = -Infinity;

  add(ratio: number, now: number): void {
    const index = Math.round(Math.log2(ratio) * bucketsPerDoubling) +
      bucketCount / 2;
    const bounded = Math.min(bucketCount - 1, Math.max(0, index));
    this.#buckets[bounded]?.add(1, now);
  }

  /** Median ratio, recomputed at most every `medianInterval`. */
  median(now: number): number {
    if (now - this.#medianAt >= medianInterval) {
      this.#median = this.#computeMedian(now);
      this.#medianAt = now;
    }
    return this.#median;
  }

  #computeMedian(now: number): number {
    const values = this.#buckets.map((bucket) => bucket.value(now));
    const half = values.reduce((sum, value) => sum + value, 0) / 2;
    let sum = 0;
    for (const [index, value] of values.entries()) {
      sum += value;
      if (sum >= half && half > 0) {
        return 2 ** ((index - bucketCount / 2) / bucketsPerDoubling);
      }
    }
    return 1;
  }
}

/** Detects slow servers of one pool and limits their traffic. */
export class SlowServerDetector {
  #peers = new Map<LatencyKind, PeerRatios>();
  #servers = new Map<BackendServerId, ServerLatency>();
  #threshold: number;
  #probeInterval: number;

  constructor(options: SlowServerDetectorOptions) {
    this.#threshold = options.threshold;
    this.#probeInterval = options.probeInterval;
  }

  /** Applies changed settings. */
  configure(options: SlowServerDetectorOptions): void {
    this.#threshold = options.threshold;
    this.#probeInterval = options.probeInterval;
  }

  /**
   * Records one latency sample.
   *
   * @param sample Observed over expected latency for the same work.
   */
  observe(
    server: BackendServerId,
    sample: { readonly kind: LatencyKind; readonly ratio: number },
    now: number,
  ): void {
    const { kind, ratio } = sample;
    if (!(ratio > 0)) return;
    const latency = this.#servers.get(server) ??
      { ratios: new Map(), weight: 1, lastDispatchAt: now, probeFactor: 1 };
    this.#servers.set(server, latency);
    smooth(latency, sample, now);
    const peers = this.#peersOf(kind);
    peers.add(ratio, now);
    const isFast = ratio < peers.median(now) * this.#threshold;
    // A slow engine without a queue may still compute prompts quickly.
    const isInformative = kind !== "first_token" ||
      this.#worst(latency, now).kind === kind;
    if (!isFast) latency.probeFactor = 1;
    else if (isInformative) latency.probeFactor = fastProbeFactor;
    this.#moveWeight(latency, now);
  }

  /**
   * Records the ratio of an unfinished wait to the expected one, as evidence
   * only that a server is slow.
   */
  observeWait(
    server: BackendServerId,
    sample: { readonly kind: LatencyKind; readonly ratio: number },
    now: number,
  ): void {
    const median = this.#peersOf(sample.kind).median(now);
    if (sample.ratio < median * this.#threshold) return;
    this.observe(server, sample, now);
  }

  /** Whether the server is slower than its peers by the threshold. */
  isSlow(server: BackendServerId, now: number): boolean {
    return this.latencyFactor(server, now) > this.#threshold;
  }

  /** Latency as a multiple of the peers' latency; 1 with too few samples. */
  latencyFactor(server: BackendServerId, now: number): number {
    const latency = this.#servers.get(server);
    return latency === undefined ? 1 : this.#worst(latency, now).factor;
  }

  /** Part of its normal traffic that a server should receive, in (0, 1]. */
  trafficWeight(server: BackendServerId): number {
    return this.#servers.get(server)?.weight ?? 1;
  }

  /** Whether a slow server is due for a probe request. */
  probeDue(server: BackendServerId, now: number): boolean {
    const latency = this.#servers.get(server);
    return latency !== undefined && latency.weight < 1 &&
      now - latency.lastDispatchAt >= this.#probeInterval * latency.probeFactor;
  }

  /** Restarts the probe interval, as work was sent to the server. */
  recordDispatch(server: BackendServerId, now: number): void {
    const latency = this.#servers.get(server);
    if (latency !== undefined) latency.lastDispatchAt = now;
  }

  /** Removes a server that left or restarted. */
  forget(server: BackendServerId): void {
    this.#servers.delete(server);
  }

  #moveWeight(latency: ServerLatency, now: number): void {
    const { factor } = this.#worst(latency, now);
    const target = factor > this.#threshold
      ? Math.max(minTrafficWeight, (this.#threshold / factor) ** 4)
      : 1;
    const step = target > latency.weight ? recoveryStep : reductionStep;
    latency.weight += (target - latency.weight) * step;
    if (latency.weight > 0.95) latency.weight = 1;
  }

  /** Returns the largest latency factor, which decides how slow a server is. */
  #worst(latency: ServerLatency, now: number): WorstLatency {
    let worst: WorstLatency = { kind: undefined, factor: 1 };
    for (const [kind, ratio] of latency.ratios) {
      if (ratio.samples < minSamples) continue;
      const factor = ratio.value / this.#peersOf(kind).median(now);
      if (factor > worst.factor) worst = { kind, factor };
    }
    return worst;
  }

  #peersOf(kind: LatencyKind): PeerRatios {
    let peers = this.#peers.get(kind);
    if (peers === undefined) {
      peers = new PeerRatios();
      this.#peers.set(kind, peers);
    }
    return peers;
  }
}

function smooth(
  latency: ServerLatency,
  sample: { readonly kind: LatencyKind; readonly ratio: number },
  now: number,
): void {
  const smoothed = latency.ratios.get(sample.kind) ??
    { value: sample.ratio, samples: 0, lastAt: now };
  latency.ratios.set(sample.kind, smoothed);
  const age = now - smoothed.lastAt;
  const sampleWeight = 1 -
    (1 - smoothing) * Math.exp(-age / sampleTimeConstant);
  smoothed.value = Math.exp(
    (1 - sampleWeight) * Math.log(smoothed.value) +
      sampleWeight * Math.log(sample.ratio),
  );
  smoothed.samples += 1;
  smoothed.lastAt = now;
}
