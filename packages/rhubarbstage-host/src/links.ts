/**
 * Links to other hosts as the process settings describe them.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { RhubarbstageError } from "rhubarbstage";
import type { ProcessSettings, TlsFiles } from "@rhubarbstage/settings";
import {
  PeerTransport,
  type Transport,
  type TransportCertificates,
} from "@rhubarbstage/transport";
import type { HostContext } from "./foundation.ts";

/** Listens for links of other hosts. Throws when the address is in use. */
export async function openTransport(
  foundation: HostContext,
): Promise<Transport> {
  const { process, incarnation, tokens, events } = foundation;
  const { address, port } = process.peer.listen;
  const [token] = tokens.peer;
  if (token === undefined) throw new Error("The peer token is missing");
  const transport = await PeerTransport.listen({
    host: process.host,
    incarnation,
    address,
    port,
    token: token.value,
    peers: listPeers(process),
    clock: foundation.timeline.clock,
    certificates: await readCertificates(process.tls),
  });
  transport.onLink(({ kind, peer, reason }) => {
    events.record(`link_${kind}`, { peer: peer.host, reason }, "debug");
  }, { signal: foundation.stopController.signal });
  return transport;
}

function listPeers(process: ProcessSettings) {
  return new Map(
    process.peers.map(({ host, address, port }) => [host, { address, port }]),
  );
}

async function readCertificates(
  files: TlsFiles | undefined,
): Promise<TransportCertificates | undefined> {
  if (files === undefined) return undefined;
  if (files.authority === undefined) {
    throw new RhubarbstageError("invalid_request", {
      message: "Links with certificates need tls.authority in the settings",
    });
  }
  return {
    certificate: await readFile(files.certificate, "utf8"),
    key: await readFile(files.key, "utf8"),
    authority: await readFile(files.authority, "utf8"),
  };
}
