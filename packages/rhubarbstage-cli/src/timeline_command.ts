/**
 * `rhubarbstage timeline`.
 *
 * @module
 */

import { operatorPaths, type TimelineAnswer } from "@rhubarbstage/settings";
import {
  formatFields,
  formatTimestamp,
  mergeTimelines,
  readTimelineFile,
  type TimelineEvent,
  type TimelineFilter,
} from "@rhubarbstage/telemetry";
import type { BackendServerId, RequestId, Revision } from "rhubarbstage";
import { type Context, withClient } from "./context.ts";
import type { Options } from "./options.ts";

function readFilter(options: Options): TimelineFilter {
  const request = options.text("request") as RequestId | undefined;
  const server = options.text("server") as BackendServerId | undefined;
  const revision = options.count("revision") as Revision | undefined;
  const from = options.time("from");
  const to = options.time("to");
  const limit = options.count("limit");
  return {
    ...(request === undefined ? {} : { request }),
    ...(server === undefined ? {} : { server }),
    ...(revision === undefined ? {} : { revision }),
    ...(from === undefined ? {} : { from }),
    ...(to === undefined ? {} : { to }),
    ...(limit === undefined ? {} : { limit }),
  };
}

async function askHosts(
  context: Context,
  filter: TimelineFilter,
): Promise<TimelineAnswer> {
  const scope = context.options.flag("host-only") ? "host" : "all";
  return await withClient(
    context,
    (client) =>
      client.get<TimelineAnswer>(operatorPaths.timeline, { ...filter, scope }),
  );
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
export async function showTimeline(context: Context): Promise<void> {
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
    output.note(
      `No answer from ${missing.join(", ")}; their events are missing`,
    );
  }
}
