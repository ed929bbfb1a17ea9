/**
 * Finds slowed servers from own latencies against those of their peers.
 *
 * @module
 */

import type { BackendServerId } from "rhubarbstage";
import { smallestWeight } from "./constants.ts";
import { DecayedSum } from "./decayed.ts";

/** Options of {@linkcode SlowServerDetector}. */
export interface SlowServerDetectorOptions {
  /** Latency, in that of the peers, from which a server counts as slow. */
  readonly threshold: number;
  /** Milliseconds between probes of a slowed server. */
  readonly probeInterval: number;
}

/** Which latency was observed. */
export type LatencyKind = "first_token" | "between_tokens" | "call";

interface SmoothedRatio {
  /** Observed over expected latency. */
  value: number;
  samples: number;
  lastAt: number;
}

interface ServerLatency {
  readonly ratios: Map<LatencyKind, SmoothedRatio>;
  /** Part of its normal traffic that the server gets. */
  weight: number;
  lastProbe: number;
  /** Part of the probe interval to wait; shorter after a good probe. */
  probeFactor: number;
}

interface WorstLatency {
  readonly kind: LatencyKind | undefined;
  readonly factor: number;
}

const bucketsPerDoubling = 4;
const bucketCount = 64;
const peerMemory = 10_000;
/** In milliseconds; the median took two thirds of the time of a decision. */
const medianPeriod = 50;
/** A server needs this many samples before it counts as slow. */
const samplesToJudge = 3;
/** Share of a new sample in the smoothed ratio. */
const smoothing = 0.3;
/** Age from which old samples count little against a new one. */
const sampleMemory = 3_000;
/** After a good probe the next one comes this much earlier. */
const goodProbeFactor = 0.1;
/** Part of the way to its target that a weight moves for each sample. */
const weightStep = 0.4;
/** The same on the way back; a probe is rare, so each one counts more. */
const recoveryStep = 0.7;

/**
 * Distribution of observed over expected latency of all servers of a pool, in
 * logarithmic buckets, so that the median costs the same for any pool size.
 */
class PeerRatios {
  #buckets = Array.from(
    { length: bucketCount },
    () => new DecayedSum(peerMemory),
  );

  #median = 1;
  #medianAt = -Infinity;

  add(ratio: number, now: number): void {
    const index = Math.round(Math.log2(ratio) * bucketsPerDoubling) +
      bucketCount / 2;
    const bounded = Math.min(bucketCount - 1, Math.max(0, index));
    this.#buckets[bounded]?.add(1, now);
  }

  /** The median; computed anew at most every `medianPeriod`. */
  median(now: number): number {
    if (now - this.#medianAt >= medianPeriod) {
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

/** Slowness of the servers of one pool. */
export class SlowServerDetector {
  #peers = new Map<LatencyKind, PeerRatios>();
  #servers = new Map<BackendServerId, ServerLatency>();
  #threshold: number;
  #probeInterval: number;

  constructor(options: SlowServerDetectorOptions) {
    this.#threshold = options.threshold;
    this.#probeInterval = options.probeInterval;
  }

  /** Takes changed settings. */
  configure(options: SlowServerDetectorOptions): void {
    this.#threshold = options.threshold;
    this.#probeInterval = options.probeInterval;
  }

  /**
   * Takes one latency sample.
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
    const known = this.#servers.get(server) ??
      { ratios: new Map(), weight: 1, lastProbe: now, probeFactor: 1 };
    this.#servers.set(server, known);
    smooth(known, sample, now);
    const peers = this.#peersOf(kind);
    peers.add(ratio, now);
    const good = ratio < peers.median(now) * this.#threshold;
    // An engine without a queue may compute prompts quickly though it is slow.
    const telling = kind !== "first_token" ||
      this.#worst(known, now).kind === kind;
    if (!good) known.probeFactor = 1;
    else if (telling) known.probeFactor = goodProbeFactor;
    this.#moveWeight(known, now);
  }

  /**
   * Takes a wait that is not over yet. It can show that a server is slow, but
   * not that it is fast.
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

  /** Latency of a server in that of its peers; 1 when not judged yet. */
  latencyFactor(server: BackendServerId, now: number): number {
    const known = this.#servers.get(server);
    return known === undefined ? 1 : this.#worst(known, now).factor;
  }

  /** Part of its normal traffic that a server should get, in (0, 1]. */
  trafficWeight(server: BackendServerId): number {
    return this.#servers.get(server)?.weight ?? 1;
  }

  /** Whether a slowed server is due for one request as a probe. */
  probeDue(server: BackendServerId, now: number): boolean {
    const known = this.#servers.get(server);
    return known !== undefined && known.weight < 1 &&
      now - known.lastProbe >= this.#probeInterval * known.probeFactor;
  }

  /** Notes that work was sent to the server. */
  recordDispatch(server: BackendServerId, now: number): void {
    const known = this.#servers.get(server);
    if (known !== undefined) known.lastProbe = now;
  }

  /** Forgets a server that left or came back as a new process. */
  forget(server: BackendServerId): void {
    this.#servers.delete(server);
  }

  #moveWeight(known: ServerLatency, now: number): void {
    const { factor } = this.#worst(known, now);
    const target = factor > this.#threshold
      ? Math.max(smallestWeight, (this.#threshold / factor) ** 4)
      : 1;
    const step = target > known.weight ? recoveryStep : weightStep;
    known.weight += (target - known.weight) * step;
    if (known.weight > 0.95) known.weight = 1;
  }

  /** A server is as slow as the worst of its latencies. */
  #worst(known: ServerLatency, now: number): WorstLatency {
    let worst: WorstLatency = { kind: undefined, factor: 1 };
    for (const [kind, ratio] of known.ratios) {
      if (ratio.samples < samplesToJudge) continue;
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
  known: ServerLatency,
  sample: { readonly kind: LatencyKind; readonly ratio: number },
  now: number,
): void {
  const smoothed = known.ratios.get(sample.kind) ??
    { value: sample.ratio, samples: 0, lastAt: now };
  known.ratios.set(sample.kind, smoothed);
  const age = now - smoothed.lastAt;
  const share = 1 - (1 - smoothing) * Math.exp(-age / sampleMemory);
  smoothed.value = Math.exp(
    (1 - share) * Math.log(smoothed.value) + share * Math.log(sample.ratio),
  );
  smoothed.samples += 1;
  smoothed.lastAt = now;
}
