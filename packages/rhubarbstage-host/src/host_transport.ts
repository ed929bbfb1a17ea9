/**
 * Transport between hosts, configured by the process settings.
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
import type { HostContext } from "./host_context.ts";

/** Listens for links from other hosts. Throws when the address is in use. */
export async function openTransport(
  context: HostContext,
): Promise<Transport> {
  const { process, incarnation, tokens, events } = context;
  const { address, port } = process.peer.listen;
  const [token] = tokens.peer;
  if (token === undefined) throw new Error("token_files.peer has no token");
  const transport = await PeerTransport.listen({
    host: process.host,
    incarnation,
    address,
    port,
    token: token.value,
    peers: listPeers(process),
    clock: context.timeline.clock,
    certificates: await readCertificates(process.tls),
  });
  transport.onLink(({ kind, peer, reason }) => {
    events.record(`link_${kind}`, { peer: peer.host, reason }, "debug");
  }, { signal: context.stopController.signal });
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
      message: "TLS links between hosts require tls.authority in the settings",
    });
  }
  return {
    certificate: await readFile(files.certificate, "utf8"),
    key: await readFile(files.key, "utf8"),
    authority: await readFile(files.authority, "utf8"),
  };
}
