/**
 * `rhubarbstage timeline`.
 *
 * @module
 */

import {
  operatorPaths,
  type TimelineAnswer,
  type TimelineScope,
} from "@rhubarbstage/settings";
import {
  formatFields,
  formatTimestamp,
  mergeTimelines,
  readTimelineFile,
  type TimelineEvent,
  type TimelineFilter,
} from "@rhubarbstage/telemetry";
import type {
  BackendServerId,
  HostId,
  RequestId,
  Revision,
} from "rhubarbstage";
import type { CommandContext } from "./context.ts";
import {
  OperatorClient,
  type OperatorClientOptions,
  readClientOptions,
} from "./operator_client.ts";
import type { ParsedOptions } from "./options.ts";

function readFilter(options: ParsedOptions): TimelineFilter {
  const request = options.text("request") as RequestId | undefined;
  const server = options.text("server") as BackendServerId | undefined;
  const revision = options.integer("revision") as Revision | undefined;
  const from = options.time("from");
  const to = options.time("to");
  const limit = options.integer("limit");
  return {
    ...(request === undefined ? {} : { request }),
    ...(server === undefined ? {} : { server }),
    ...(revision === undefined ? {} : { revision }),
    ...(from === undefined ? {} : { from }),
    ...(to === undefined ? {} : { to }),
    ...(limit === undefined ? {} : { limit }),
  };
}

async function askHost(
  clientOptions: OperatorClientOptions,
  query: TimelineFilter & { readonly scope: TimelineScope },
): Promise<TimelineAnswer> {
  const client = new OperatorClient(clientOptions);
  try {
    return await client.get<TimelineAnswer>(operatorPaths.timeline, {
      ...query,
    });
  } finally {
    await client.close();
  }
}

/**
 * Asks one host for the events of all, or each of several hosts for its own
 * when `--url` is repeated.
 */
async function askHosts(
  context: CommandContext,
  filter: TimelineFilter,
): Promise<TimelineAnswer> {
  const { options, env } = context;
  const clientOptions = await readClientOptions(options, env);
  const { urls } = clientOptions;
  const isOwn = options.flag("host-only") || urls.length > 1;
  const scope: TimelineScope = isOwn ? "host" : "all";
  if (urls.length === 1) {
    return await askHost(clientOptions, { ...filter, scope });
  }
  const results = await Promise.allSettled(
    urls.map((url) =>
      askHost({ ...clientOptions, urls: [url] }, { ...filter, scope })
    ),
  );
  const answers = results.flatMap((result) =>
    result.status === "fulfilled" ? [result.value] : []
  );
  const failures = results.flatMap((result, index) =>
    result.status === "rejected" ? [{ index, reason: result.reason }] : []
  );
  if (answers.length === 0) throw failures[0]?.reason;
  return {
    events: answers.flatMap(({ events }) => events),
    missing_hosts: failures.map(({ index }) => urls[index] as HostId),
  };
}

function formatEvent(event: TimelineEvent): string {
  const { host, request, server, revision, fields } = event;
  const line = formatFields({
    event: event.event,
    host,
    request,
    server,
    revision,
    ...fields,
  });
  return `${formatTimestamp(event)} ${line}`;
}

/** Prints events of files and live hosts in causal order. */
export async function showTimeline(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const filter = readFilter(options);
  const files = options.list("file");
  const isLive = files.length === 0 || options.list("url").length > 0;
  const live = isLive ? await askHosts(context, filter) : undefined;
  const sources = await Promise.all(
    files.map((file) => readTimelineFile(file, filter)),
  );
  const events = mergeTimelines([...sources, live?.events ?? []], filter);
  const missing = live?.missing_hosts ?? [];
  if (options.flag("json")) {
    return output.json({ events, missing_hosts: missing });
  }
  for (const event of events) output.line(formatEvent(event));
  if (missing.length > 0) {
    output.diagnostic(
      `No answer from ${missing.join(", ")}; their events are missing`,
    );
  }
}
