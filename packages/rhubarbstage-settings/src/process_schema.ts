/**
 * Schema of process settings as written in the file of a host.
 *
 * @module
 */

import { isIP } from "node:net";
import { z } from "zod";
import { defaultJournalGroups, defaultShutdownNotice } from "./constants.ts";
import { nameSchema, oneOf, textMatching, wholeNumber } from "./tree_schema.ts";
import type { Endpoint } from "./types.ts";

/** Parses `address:port`; IPv6 addresses are in brackets. */
export function parseEndpoint(value: string): Endpoint | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(value);
  if (match === null) return undefined;
  const address = match[1] ?? match[2] ?? "";
  const port = Number(match[3]);
  if (isIP(address) === 0 || port > 65_535) return undefined;
  return { address, port };
}

const endpointRule =
  'an IP address and a port from 0 to 65535, such as "10.0.1.5:8080" or "[::1]:8080"';
const endpoint = z.string({ error: endpointRule }).refine(
  (value) => parseEndpoint(value) !== undefined,
  { error: endpointRule },
);

const addressRule = "an IPv4 or IPv6 address";
const address = z.string({ error: addressRule }).refine(
  (value) => isIP(value) !== 0,
  { error: addressRule },
);

const file = textMatching(/./, "a file path");

const listenerError = { error: "a map with listen and optionally advertise" };
const listener = z.strictObject({
  listen: endpoint,
  advertise: endpoint.optional(),
}, listenerError);

const peer = z.strictObject({
  host: nameSchema,
  address,
  port: wholeNumber(1, 65_535),
  region: nameSchema,
  availability_zone: nameSchema,
  replica: z.boolean({ error: "true or false" }).default(false),
}, {
  error: "a map with host, address, port, region and availability_zone",
});

const mapError = { error: "a map of settings" };

/** Schema of the file of one host. */
export const processSchema = z.strictObject({
  host: nameSchema,
  cluster: nameSchema,
  region: nameSchema,
  availability_zone: nameSchema,
  http: listener,
  peer: listener,
  data_folder: file.optional(),
  peers: z.array(peer, { error: "a list of hosts" }).default([]),
  token_files: z.strictObject({
    peer: file,
    operators: file,
    backend_servers: file,
  }, { error: "a map with peer, operators and backend_servers" }),
  tls: z.strictObject({
    certificate: file,
    key: file,
    authority: file.optional(),
  }, { error: "a map with certificate and key" }).optional(),
  log: z.strictObject({
    level: oneOf(["error", "warn", "info", "debug"]).default("info"),
    file: file.optional(),
  }, mapError).prefault({}),
  timeline: z.strictObject({
    file: file.optional(),
    max_bytes: wholeNumber(4_096, 1_073_741_824).default(16_777_216),
    max_files: wholeNumber(2, 100).default(4),
    ring_events: wholeNumber(16, 1_000_000).default(10_000),
  }, mapError).prefault({}),
  shutdown_notice_ms: wholeNumber(0, 600_000).default(defaultShutdownNotice),
  journal_groups: wholeNumber(1, 256).default(defaultJournalGroups),
}, mapError);

/** Process settings with defaults filled in, keys as in the file. */
export type ProcessFields = z.infer<typeof processSchema>;
