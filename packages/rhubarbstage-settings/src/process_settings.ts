/**
 * Loads the settings of one process.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { dirname, resolve } from "node:path";
import type { AvailabilityZone, HostId, Region } from "rhubarbstage";
import { SettingsError, type SettingsProblem } from "./errors.ts";
import {
  parseEndpoint,
  type ProcessFields,
  processSchema,
} from "./process_schema.ts";
import type {
  Endpoint,
  ListenAddresses,
  PeerHost,
  ProcessSettings,
  TlsFiles,
} from "./types.ts";
import {
  createProblem,
  findProblems,
  type SettingsOrigin,
} from "./validation.ts";
import { parseYaml } from "./yaml_source.ts";

/** Options of {@linkcode parseProcessSettings}. */
export interface ProcessSettingsOptions {
  /** Name of the file in error messages. */
  readonly file?: string;
  /** Folder that relative file paths start from; defaults to the file's. */
  readonly folder?: string;
}

function toEndpoint(value: string): Endpoint {
  return parseEndpoint(value) as Endpoint;
}

function toListener(
  fields: { listen: string; advertise?: string | undefined },
): ListenAddresses {
  return {
    listen: toEndpoint(fields.listen),
    advertise: toEndpoint(fields.advertise ?? fields.listen),
  };
}

function toPeer(fields: ProcessFields["peers"][number]): PeerHost {
  return {
    host: fields.host as HostId,
    address: fields.address,
    port: fields.port,
    region: fields.region as Region,
    availabilityZone: fields.availability_zone as AvailabilityZone,
    replica: fields.replica,
  };
}

function toTls(
  fields: NonNullable<ProcessFields["tls"]>,
  path: (file: string) => string,
): TlsFiles {
  return {
    certificate: path(fields.certificate),
    key: path(fields.key),
    ...(fields.authority === undefined
      ? {}
      : { authority: path(fields.authority) }),
  };
}

function toSettings(fields: ProcessFields, folder: string): ProcessSettings {
  const path = (file: string) => resolve(folder, file);
  const { log, timeline } = fields;
  return {
    host: fields.host as HostId,
    cluster: fields.cluster,
    region: fields.region as Region,
    availabilityZone: fields.availability_zone as AvailabilityZone,
    http: toListener(fields.http),
    peer: toListener(fields.peer),
    ...(fields.data_folder === undefined
      ? {}
      : { dataFolder: path(fields.data_folder) }),
    peers: fields.peers.filter((peer) => peer.host !== fields.host).map(toPeer),
    tokenFiles: {
      peer: path(fields.token_files.peer),
      operators: path(fields.token_files.operators),
      backendServers: path(fields.token_files.backend_servers),
    },
    ...(fields.tls === undefined ? {} : { tls: toTls(fields.tls, path) }),
    log: {
      level: log.level,
      ...(log.file === undefined ? {} : { file: path(log.file) }),
    },
    timeline: {
      ...(timeline.file === undefined ? {} : { file: path(timeline.file) }),
      maxBytes: timeline.max_bytes,
      maxFiles: timeline.max_files,
      ringEvents: timeline.ring_events,
    },
    shutdownNotice: fields.shutdown_notice_ms,
    journalGroups: fields.journal_groups,
  };
}

function isUnspecifiedAddress(endpoint: Endpoint): boolean {
  return endpoint.address === "0.0.0.0" || endpoint.address === "::";
}

function findAddressProblems(
  fields: ProcessFields,
  source: SettingsOrigin,
): SettingsProblem[] {
  return (["http", "peer"] as const).flatMap((key) => {
    const { advertise } = toListener(fields[key]);
    if (!isUnspecifiedAddress(advertise)) return [];
    return [createProblem(source, [key, "advertise"], {
      value: fields[key].advertise ?? fields[key].listen,
      allowed: "an address that other hosts can reach",
    })];
  });
}

function findPeerProblems(
  fields: ProcessFields,
  source: SettingsOrigin,
): SettingsProblem[] {
  const problems: SettingsProblem[] = [];
  const hasReplica = fields.data_folder !== undefined ||
    fields.peers.some((peer) => peer.replica);
  if (!hasReplica) {
    problems.push(createProblem(source, ["peers"], {
      value: fields.peers.map((peer) => peer.host),
      allowed:
        "a list in which at least one host has replica: true, or a data_folder in this file",
    }));
  }
  const hosts = new Set<string>();
  fields.peers.forEach((peer, index) => {
    if (hosts.has(peer.host)) {
      problems.push(createProblem(source, ["peers", index, "host"], {
        value: peer.host,
        allowed: "a host that is listed once",
      }));
    }
    hosts.add(peer.host);
    const replica = fields.data_folder !== undefined;
    if (peer.host === fields.host && peer.replica !== replica) {
      problems.push(createProblem(source, ["peers", index, "replica"], {
        value: peer.replica,
        allowed: `${replica}, because this host has ${
          replica ? "a" : "no"
        } data_folder`,
      }));
    }
  });
  return problems;
}

/**
 * Parses settings from YAML. Throws `SettingsError` with all problems of the
 * first failing check.
 */
export function parseProcessSettings(
  content: string,
  options: ProcessSettingsOptions = {},
): ProcessSettings {
  const { data, source } = parseYaml(content, options);
  const problems = findProblems(processSchema, data, source);
  if (problems.length > 0) throw new SettingsError(problems);
  const fields = processSchema.parse(data);
  const crossFieldProblems = [
    ...findAddressProblems(fields, source),
    ...findPeerProblems(fields, source),
  ];
  if (crossFieldProblems.length > 0) {
    throw new SettingsError(crossFieldProblems);
  }
  const folder = options.folder ?? dirname(resolve(options.file ?? "settings"));
  return toSettings(fields, folder);
}

/**
 * Loads the settings file of a host. Relative paths in it start from its
 * folder. Throws {@linkcode SettingsError} like `parseProcessSettings`.
 */
export async function loadProcessSettings(
  file: string,
): Promise<ProcessSettings> {
  return parseProcessSettings(await readFile(file, "utf8"), { file });
}
