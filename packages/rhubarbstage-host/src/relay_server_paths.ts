/**
 * Connections of a relay host to servers, and the detours over other hosts.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import type { Membership, ServerRecord } from "@rhubarbstage/membership";
import {
  PathMonitor,
  PathReducer,
  type RelayService,
  ServerConnections,
} from "@rhubarbstage/relay";
import type { PeerTransport } from "@rhubarbstage/transport";
import type { BackendServerId } from "rhubarbstage";
import type { BackendRegistry } from "./backend_registry.ts";
import { ExchangeForwarding } from "./exchange_forwarding.ts";
import { ForwardingService } from "./forwarding_service.ts";
import type { RelayHostContext } from "./relay_parts.ts";
import type { RelayReadiness } from "./relay_readiness.ts";
import { ServerProbes } from "./server_probes.ts";

/** Requests that an entry host forwards for others at the same time. */
const maxForwardedByEntryHost = 128;
/** The same for a control host, whose own work goes before. */
const maxForwardedByControlHost = 32;

/** Components that exchange requests with servers. */
export interface ServerPathComponents {
  readonly connections: ServerConnections;
  readonly paths: PathMonitor;
  readonly forwarding: ExchangeForwarding;
  readonly forwardingService: ForwardingService;
  readonly probes: ServerProbes;
}

/** Creates the components of a host's paths to servers. */
export function createServerPaths(
  context: RelayHostContext,
  parts: {
    readonly transport: PeerTransport;
    readonly registry: BackendRegistry;
    readonly membership: Membership;
    readonly readiness: RelayReadiness;
    readonly serviceOf: (record: ServerRecord) => RelayService | undefined;
  },
): ServerPathComponents {
  const { settings, events, stopController, options } = context;
  const { transport, registry, membership, readiness, serviceOf } = parts;
  const { dialect } = options;
  const { signal } = stopController;
  const servesCallers = settings.callers !== undefined;
  const serviceOfServer = (server: BackendServerId) => {
    const record = registry.recordOf(server);
    return record === undefined ? undefined : serviceOf(record);
  };
  const forwarding = new ExchangeForwarding({
    host: settings.host,
    region: settings.region,
    transport,
    membership,
    dialect,
    onForward: ({ request, ...exchange }) =>
      events.record("exchange_detoured", {
        caller_request: request,
        ...exchange,
      }),
    signal,
  });
  const connections = new ServerConnections({
    dialect,
    maxConnections: (server) => serviceOfServer(server)?.maxConnections ?? 0,
    hosts: () =>
      membership.listLiveHosts()
        .filter(({ servesCallers }) => servesCallers !== false).length,
    paths: {
      isDirect: (server) => paths.isDirect(server),
      recordFailure: (server) => paths.recordFailure(server),
    },
    forwarding,
  });
  const targetOf = (id: BackendServerId) => {
    const server = registry.addressOf(id);
    // Unknown until the first route table.
    const healthPath = serviceOfServer(id)?.healthPath;
    return server === undefined || healthPath === undefined
      ? undefined
      : { server, healthPath };
  };
  const probes = new ServerProbes({ dialect, connections, targetOf, signal });
  const paths: PathMonitor = new PathMonitor({
    reducer: new PathReducer({
      seed: randomBytes(4).readUInt32BE(),
      probesWhenIdle: servesCallers,
    }),
    connections,
    servers: () =>
      registry.records()
        .map(({ id }) => id)
        .filter((id) =>
          registry.acceptsNewWork(id) && targetOf(id) !== undefined
        ),
    probe: async (server) => (await probes.probe(server)).result,
    askPeers: (server) => forwarding.reaches(server),
    onRestore: (servers) => {
      for (const server of servers) registry.refreshServer(server);
    },
    onDetour: () => forwarding.prepare(),
    onNote: (event, fields) => events.record(event, fields),
    signal,
  });
  readiness.isCutOff = () => paths.isCutOff && forwarding.isRefused;
  const forwardingService = new ForwardingService({
    transport,
    connections,
    serverOf: (id) =>
      registry.acceptsNewWork(id) ? registry.addressOf(id) : undefined,
    isDirect: (server) => paths.isDirect(server),
    isCutOff: () => paths.isCutOff,
    acceptsWork: () =>
      !signal.aborted && readiness.notReadyReason() !== "shutting_down",
    probe: async (server) => {
      const { result, isWrongServer } = await probes.probe(server);
      return isWrongServer ? "refused" : result;
    },
    maxRequests: servesCallers
      ? maxForwardedByEntryHost
      : maxForwardedByControlHost,
    onForward: ({ request, ...exchange }) =>
      events.record("exchange_forwarded", {
        caller_request: request,
        ...exchange,
      }),
    budget: context.budget,
    signal,
  });
  return { connections, paths, forwarding, forwardingService, probes };
}
