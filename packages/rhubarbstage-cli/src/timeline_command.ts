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

async function fetchFromHost(
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
 * Fetches the events of all hosts through one host, or those of each host
 * separately when there are several URLs.
 */
async function fetchFromHosts(
  context: CommandContext,
  filter: TimelineFilter,
): Promise<TimelineAnswer> {
  const { options, env } = context;
  const clientOptions = await readClientOptions(options, env);
  const { urls } = clientOptions;
  const isHostOnly = options.flag("host-only") || urls.length > 1;
  const scope: TimelineScope = isHostOnly ? "host" : "all";
  if (urls.length === 1) {
    return await fetchFromHost(clientOptions, { ...filter, scope });
  }
  const results = await Promise.allSettled(
    urls.map((url) =>
      fetchFromHost({ ...clientOptions, urls: [url] }, { ...filter, scope })
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

/** Prints events from files and running hosts in causal order. */
export async function showTimeline(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const filter = readFilter(options);
  const files = options.list("file");
  const queriesHosts = files.length === 0 || options.list("url").length > 0;
  const hostAnswer = queriesHosts
    ? await fetchFromHosts(context, filter)
    : undefined;
  const sources = await Promise.all(
    files.map((file) => readTimelineFile(file, filter)),
  );
  const events = mergeTimelines([...sources, hostAnswer?.events ?? []], filter);
  const missingHosts = hostAnswer?.missing_hosts ?? [];
  if (options.flag("json")) {
    return output.json({ events, missing_hosts: missingHosts });
  }
  for (const event of events) output.line(formatEvent(event));
  if (missingHosts.length > 0) {
    output.diagnostic(
      `No answer from ${missingHosts.join(", ")}; their events are missing`,
    );
  }
}
