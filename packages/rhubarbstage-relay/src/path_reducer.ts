/**
 * Decides which servers this host reaches on its own connections, and when the
 * host itself is cut off from all of them.
 *
 * One server that fails or falls silent says nothing of the host's network: it
 * may have ended. The reducer therefore examines a suspicion by probes on new
 * connections, first of the suspected server, then of others as witnesses. If
 * none answers and other hosts reach them, the host is cut off. If witnesses
 * answer, other hosts are asked for the suspected server. If they reach it, its
 * path is lost here, and other paths are checked as well. Lost paths are probed
 * until they work.
 *
 * @module
 */

import { type BackendServerId, Reducer, SeededRandom } from "rhubarbstage";
import {
  brokenExchangeSilence,
  hostSilenceThreshold,
  idleProbeInterval,
  maxExaminedServers,
  maxSurveyedServers,
  minCutOffEvidence,
  peerQueryInterval,
  probeHeadStart,
  queriedServers,
  reprobeInterval,
  serverSilenceThreshold,
  surveyedServersPerCheck,
  suspicionInterval,
} from "./constants.ts";

/** How a server took a probe on a new connection. */
export type ProbeResult = "answered" | "refused" | "silent";

/** What has happened on the paths to servers. */
export type PathEvent =
  | {
    readonly type: "tick";
    readonly now: number;
    /** Servers that this host may use. */
    readonly servers: readonly BackendServerId[];
    /**
     * Milliseconds for which servers with a request of this host have sent
     * nothing.
     */
    readonly silences: ReadonlyMap<BackendServerId, number>;
    /** Milliseconds since any server has sent a byte. */
    readonly silence: number;
  }
  /** A connection could not be opened, or was reset. */
  | {
    readonly type: "connection_failed";
    readonly server: BackendServerId;
    readonly now: number;
  }
  | {
    readonly type: "probe_ended";
    readonly server: BackendServerId;
    readonly result: ProbeResult;
    readonly now: number;
    /** Milliseconds since any server has sent a byte. */
    readonly silence: number;
  }
  /** Another host has said whether it reaches a server. */
  | {
    readonly type: "peer_reported";
    readonly server: BackendServerId;
    readonly isReachable: boolean;
    readonly now: number;
  };

/** What to do about the paths to servers. */
export type PathEffect =
  /** Send a probe on a new connection; its result is an event. */
  | { readonly type: "probe"; readonly server: BackendServerId }
  /** Ask other hosts whether they reach a server. */
  | { readonly type: "ask_peers"; readonly server: BackendServerId }
  /** Servers can be used again, directly or through other hosts. */
  | {
    readonly type: "restore";
    readonly servers: readonly BackendServerId[];
  }
  /** Use new connections for the next requests to servers. */
  | {
    readonly type: "renew_connections";
    readonly servers: readonly BackendServerId[];
  }
  /** End requests that hang on dead connections and may be repeated. */
  | {
    readonly type: "break_silent";
    readonly servers: readonly BackendServerId[];
    /** Shortest silence of a request to end, in milliseconds. */
    readonly silence: number;
  }
  | {
    readonly type: "note";
    readonly event: string;
    readonly fields: Readonly<Record<string, string | number>>;
  };

/** A suspicion under examination. */
interface Examination {
  readonly subject: BackendServerId;
  /** Results of the probes; undefined until a probe has ended. */
  readonly probes: Map<BackendServerId, ProbeResult | undefined>;
  readonly startedAt: number;
  /** Time of the last probe that was sent. */
  probedAt: number;
  /** Servers for which other hosts were asked, and have not answered. */
  readonly asked: Set<BackendServerId>;
}

/** What a host knows of its paths to servers. */
export interface PathState {
  servers: readonly BackendServerId[];
  /** Whether this host reaches no server. */
  isCutOff: boolean;
  /** Whether servers are silent, rather than refusing, while it is cut off. */
  isSilent: boolean;
  /** Servers that other hosts reach and this one does not. */
  readonly lost: Set<BackendServerId>;
  examination: Examination | undefined;
  /** End of the last examination that found the host connected. */
  examinedAt: number;
  /** Servers that have answered a probe since the host was cut off. */
  readonly healed: Set<BackendServerId>;
  /** Probes beside an examination that have not ended. */
  readonly probing: Set<BackendServerId>;
  /** Servers whose paths are checked next because another one was lost. */
  readonly survey: Set<BackendServerId>;
  reprobedAt: number;
  nextReprobe: number;
  readonly askedAt: Map<BackendServerId, number>;
  readonly random: SeededRandom;
}

/** Options of a {@linkcode PathReducer}. */
export interface PathReducerOptions {
  /** Seed of the choice of witnesses. */
  readonly seed: number;
  /**
   * Whether an idle host probes a server now and then, to know of a cut before
   * its next caller does.
   */
  readonly probesWhenIdle: boolean;
}

/** Tracks the paths from one host to the servers. */
export class PathReducer extends Reducer<PathState, PathEvent, PathEffect> {
  readonly #options: PathReducerOptions;

  constructor(options: PathReducerOptions) {
    super();
    this.#options = options;
  }

  override initial(): PathState {
    return {
      servers: [],
      isCutOff: false,
      isSilent: false,
      lost: new Set(),
      examination: undefined,
      examinedAt: -Infinity,
      healed: new Set(),
      probing: new Set(),
      survey: new Set(),
      reprobedAt: -Infinity,
      nextReprobe: 0,
      askedAt: new Map(),
      random: new SeededRandom(this.#options.seed),
    };
  }

  override reduce(state: PathState, event: PathEvent): readonly PathEffect[] {
    switch (event.type) {
      case "tick":
        return this.#onTick(state, event);
      case "connection_failed":
        return onConnectionFailed(state, event.server, event.now);
      case "probe_ended":
        return onProbeEnded(state, event);
      case "peer_reported":
        return onPeerReported(state, event);
    }
  }

  #onTick(
    state: PathState,
    event: Extract<PathEvent, { type: "tick" }>,
  ): PathEffect[] {
    const { now, servers } = event;
    state.servers = servers;
    forgetUnknown(state);
    if (state.isCutOff) {
      return [...breakSilent(state), ...reprobe(state, servers, now)];
    }
    if (state.examination !== undefined) {
      return widenExamination(state, state.examination, now);
    }
    const suspect = this.#findSuspect(state, event);
    if (suspect !== undefined) return examine(state, suspect, now);
    return [
      ...breakSilent(state),
      ...continueSurvey(state),
      ...reprobe(state, [...state.lost], now),
    ];
  }

  /** Returns the server that has been silent for suspiciously long, if any. */
  #findSuspect(
    state: PathState,
    event: Extract<PathEvent, { type: "tick" }>,
  ): BackendServerId | undefined {
    const { now, silences, silence, servers } = event;
    let suspect: BackendServerId | undefined;
    let longest = 0;
    for (const [server, duration] of silences) {
      if (state.lost.has(server) || duration <= longest) continue;
      // Other hosts did not reach it either.
      if (wasAskedFor(state, server, now)) continue;
      suspect = server;
      longest = duration;
    }
    const isHostSilent = silence >= hostSilenceThreshold &&
      longest >= hostSilenceThreshold;
    if (isHostSilent || longest >= serverSilenceThreshold) return suspect;
    const isIdle = silences.size === 0 && silence >= idleProbeInterval;
    if (!isIdle || !this.#options.probesWhenIdle || servers.length === 0) {
      return undefined;
    }
    return state.random.pick(servers);
  }
}

/** Ends requests on connections that have gone silent with their path. */
function breakSilent(state: PathState): PathEffect[] {
  const { isCutOff, isSilent, servers, lost } = state;
  if (isCutOff && !isSilent) return [];
  if (!isCutOff && lost.size === 0) return [];
  return [{
    type: "break_silent",
    servers: isCutOff ? servers : [...lost],
    silence: isCutOff ? brokenExchangeSilence : serverSilenceThreshold,
  }];
}

/** Whether a host should use its own connections to a server. */
export function isDirect(state: PathState, server: BackendServerId): boolean {
  return !state.isCutOff && !state.lost.has(server);
}

function forgetUnknown(state: PathState): void {
  const known = new Set(state.servers);
  const { lost, healed, probing, survey } = state;
  for (const set of [lost, healed, probing, survey]) {
    for (const server of set) if (!known.has(server)) set.delete(server);
  }
  for (const server of state.askedAt.keys()) {
    if (!known.has(server)) state.askedAt.delete(server);
  }
}

function onConnectionFailed(
  state: PathState,
  server: BackendServerId,
  now: number,
): PathEffect[] {
  const isKnown = state.examination !== undefined ||
    !isDirect(state, server) || now - state.examinedAt < suspicionInterval;
  return isKnown ? [] : examine(state, server, now);
}

function examine(
  state: PathState,
  subject: BackendServerId,
  now: number,
): PathEffect[] {
  state.examination = {
    subject,
    probes: new Map([[subject, undefined]]),
    startedAt: now,
    probedAt: now,
    asked: new Set(),
  };
  return [{ type: "probe", server: subject }];
}

/** Probes all witnesses when the suspected server does not answer soon. */
function widenExamination(
  state: PathState,
  examination: Examination,
  now: number,
): PathEffect[] {
  if (now - examination.probedAt < probeHeadStart) return [];
  const effects: PathEffect[] = [];
  for (;;) {
    const added = probeWitness(state, examination, now);
    if (added.length === 0) return effects;
    effects.push(...added);
  }
}

function probeWitness(
  state: PathState,
  examination: Examination,
  now: number,
): PathEffect[] {
  const { probes } = examination;
  if (probes.size >= maxExaminedServers) return [];
  const others = state.servers.filter((server) =>
    !probes.has(server) && !state.lost.has(server)
  );
  if (others.length === 0) return [];
  const server = state.random.pick(others);
  probes.set(server, undefined);
  examination.probedAt = now;
  return [{ type: "probe", server }];
}

function onProbeEnded(
  state: PathState,
  event: Extract<PathEvent, { type: "probe_ended" }>,
): PathEffect[] {
  const { server, result, now } = event;
  state.probing.delete(server);
  const effects: PathEffect[] = [];
  if (result === "answered" && state.lost.delete(server)) {
    effects.push(
      { type: "note", event: "server_path_restored", fields: { server } },
      { type: "restore", servers: [server] },
    );
  }
  if (state.isCutOff) return [...effects, ...updateCutOff(state, event)];
  const { examination } = state;
  if (examination?.probes.has(server) === true) {
    examination.probes.set(server, result);
    return [...effects, ...evaluate(state, examination, event)];
  }
  return result === "answered" ? effects : askPeers(state, [server], now);
}

/** Ends an examination once its probes allow a verdict. */
function evaluate(
  state: PathState,
  examination: Examination,
  { now, silence }: { readonly now: number; readonly silence: number },
): PathEffect[] {
  const results = [...examination.probes.values()];
  const unanswered = [...examination.probes]
    .filter(([, result]) => result === "refused" || result === "silent")
    .map(([server]) => server);
  if (results.includes("answered")) {
    endExamination(state, now);
    return askPeers(state, unanswered, now);
  }
  if (results.includes(undefined)) return [];
  const widened = probeWitness(state, examination, now);
  if (widened.length > 0) return widened;
  // Busy servers may be late with all probes and still answer other requests. A
  // refusal holds for new connections, whatever the open ones carry.
  const isRefused = results.every((result) => result === "refused");
  const isHeard = now - silence > examination.startedAt;
  if (!isRefused && isHeard) {
    endExamination(state, now);
    return [];
  }
  // Overloaded servers refuse other hosts as well.
  const isVerdict = unanswered.length >= minCutOffEvidence;
  const queries = askPeers(state, unanswered.slice(0, queriedServers), now);
  if (!isVerdict || queries.length === 0) {
    endExamination(state, now);
    return queries;
  }
  for (const { server } of queries) examination.asked.add(server);
  return queries;
}

function endExamination(state: PathState, now: number): void {
  state.examination = undefined;
  state.examinedAt = now;
}

function cutOff(
  state: PathState,
  { probes }: Examination,
): PathEffect[] {
  const results = [...probes.values()];
  state.isCutOff = true;
  state.isSilent = results.includes("silent");
  state.lost.clear();
  state.healed.clear();
  state.survey.clear();
  const silent = results.filter((result) => result === "silent").length;
  return [
    {
      type: "note",
      event: "host_cut_off",
      fields: {
        silent,
        refused: results.length - silent,
        servers: state.servers.length,
      },
    },
    { type: "renew_connections", servers: state.servers },
    { type: "restore", servers: state.servers },
  ];
}

/** Ends the cut when several servers have answered one after the other. */
function updateCutOff(
  state: PathState,
  event: Extract<PathEvent, { type: "probe_ended" }>,
): PathEffect[] {
  const { server, result, now } = event;
  if (result !== "answered") {
    state.isSilent ||= result === "silent";
    state.healed.clear();
    return [];
  }
  state.healed.add(server);
  const needed = Math.min(minCutOffEvidence, state.servers.length);
  if (state.healed.size < needed) {
    state.reprobedAt = -Infinity;
    const others = state.servers.filter((other) => !state.healed.has(other));
    return reprobe(state, others, now);
  }
  state.isCutOff = false;
  state.isSilent = false;
  state.examinedAt = now;
  return [
    {
      type: "note",
      event: "host_reconnected",
      fields: { servers: state.servers.length },
    },
    { type: "restore", servers: state.servers },
  ];
}

/** Probes one of the given servers in turn, not too often. */
function reprobe(
  state: PathState,
  servers: readonly BackendServerId[],
  now: number,
): PathEffect[] {
  if (now - state.reprobedAt < reprobeInterval) return [];
  const waiting = servers.filter((server) => !state.probing.has(server));
  if (waiting.length === 0) return [];
  const server = waiting[state.nextReprobe % waiting.length];
  if (server === undefined) return [];
  state.nextReprobe += 1;
  state.reprobedAt = now;
  state.probing.add(server);
  return [{ type: "probe", server }];
}

/** Whether other hosts were asked for a server a moment ago. */
function wasAskedFor(
  { askedAt }: PathState,
  server: BackendServerId,
  now: number,
): boolean {
  return now - (askedAt.get(server) ?? -Infinity) < peerQueryInterval;
}

/** Starts to check the paths to some servers that no other evidence covers. */
function startSurvey(state: PathState): void {
  const others = state.servers.filter((server) => !state.lost.has(server));
  while (state.survey.size < Math.min(maxSurveyedServers, others.length)) {
    state.survey.add(state.random.pick(others));
  }
}

function continueSurvey(state: PathState): PathEffect[] {
  const servers = [...state.survey]
    .filter((server) => !state.lost.has(server))
    .slice(0, surveyedServersPerCheck);
  return servers.map((server) => {
    state.survey.delete(server);
    state.probing.add(server);
    return { type: "probe", server } as const;
  });
}

function askPeers(
  state: PathState,
  servers: readonly BackendServerId[],
  now: number,
): Extract<PathEffect, { type: "ask_peers" }>[] {
  return servers.flatMap((server) => {
    if (wasAskedFor(state, server, now)) return [];
    state.askedAt.set(server, now);
    return [{ type: "ask_peers", server }];
  });
}

function onPeerReported(
  state: PathState,
  event: Extract<PathEvent, { type: "peer_reported" }>,
): PathEffect[] {
  const { server, isReachable, now } = event;
  const { examination } = state;
  if (examination?.asked.delete(server) === true) {
    if (isReachable) {
      endExamination(state, now);
      return cutOff(state, examination);
    }
    if (examination.asked.size === 0) endExamination(state, now);
    return [];
  }
  const isNews = isReachable && isDirect(state, server) &&
    state.servers.includes(server);
  if (!isNews) return [];
  // Only other hosts can tell a lost path from a lost server. This path's loss is
  // a reason to look after the others.
  if (state.lost.size === 0) startSurvey(state);
  state.lost.add(server);
  return [
    { type: "note", event: "server_path_lost", fields: { server } },
    { type: "renew_connections", servers: [server] },
    { type: "restore", servers: [server] },
  ];
}
