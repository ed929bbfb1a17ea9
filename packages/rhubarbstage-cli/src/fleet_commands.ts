/**
 * `rhubarbstage status`, `backends`, `drain`, `undrain` and `order end`.
 *
 * @module
 */

import {
  type BackendsAnswer,
  type DrainAnswer,
  type DrainRequest,
  operatorPaths,
  type OrderEndAnswer,
  type OrderEndRequest,
  type StatusAnswer,
} from "@rhubarbstage/settings";
import type { BackendServerId, EditId, OrderId } from "rhubarbstage";
import { type CommandContext, sendEdit, withClient } from "./context.ts";
import type { Output } from "./output.ts";

function printStatus(output: Output, status: StatusAnswer): void {
  const state = status.shutting_down
    ? "shutting down"
    : status.isolated
    ? "isolated"
    : status.ready
    ? "ready"
    : `not ready (${status.not_ready_reason ?? "unknown"})`;
  const textStyle = state === "ready" ? "good" : "bad";
  output.line(
    `${status.host} (${status.cluster}, version ${status.version}): ` +
      `${output.style(state, textStyle)}, revision ${status.revision ?? "-"} ` +
      `confirmed ${status.confirmation_age_ms ?? "-"} ms ago, ` +
      `${status.running_requests} running, ${status.queued_requests} queued`,
  );
  output.table(
    ["host", "region", "availability zone", "alive", "revision", "replica"],
    status.hosts.map((host) => [
      host.host,
      host.region,
      host.availability_zone,
      host.alive ? "yes" : output.style("no", "bad"),
      String(host.revision ?? "-"),
      host.replica ? "yes" : "no",
    ]),
  );
  output.table(
    ["group", "term", "leader", "commit index", "seats"],
    status.groups.map((group) => [
      group.group,
      String(group.term),
      group.leader ?? output.style("none", "bad"),
      String(group.commit_index),
      group.seats.map((seat) => `${seat.host}${seat.voter ? "" : " (learner)"}`)
        .join(", "),
    ]),
  );
}

/** Prints the state of a host and its view of the other hosts. */
export async function showStatus(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const status = await withClient(
    context,
    (client) => client.get<StatusAnswer>(operatorPaths.status),
  );
  if (options.flag("json")) return output.json(status);
  printStatus(output, status);
}

/** Prints a host's view of the backend servers. */
export async function showBackends(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const answer = await withClient(
    context,
    (client) => client.get<BackendsAnswer>(operatorPaths.backends),
  );
  if (options.flag("json")) return output.json(answer);
  output.table(
    ["server", "state", "region", "serves", "role", "running", "seen", "order"],
    answer.backends.map((server) => [
      server.server,
      output.style(server.state, server.state === "ready" ? "good" : "bad"),
      server.region,
      [...server.models, ...server.services].join(", "),
      server.role,
      String(server.running_requests),
      `${server.evidence_age_ms} ms ago`,
      server.order === undefined
        ? "-"
        : `${server.order.kind} ${server.order.order_id}`,
    ]),
  );
}

/** Starts or ends the drain of a backend server. */
export async function changeDrain(
  context: CommandContext,
  change: { readonly server: string; readonly drained: boolean },
): Promise<void> {
  const { options, output } = context;
  const server = change.server as BackendServerId;
  const { drained } = change;
  const makeBody = (editId: EditId) =>
    ({ edit_id: editId, server, drained }) satisfies DrainRequest;
  const answer = await withClient(
    context,
    (client) =>
      sendEdit<DrainAnswer>(context, client, {
        path: operatorPaths.drains,
        makeBody,
      }),
  );
  if (options.flag("json")) return output.json(answer);
  output.line(`${answer.server} is ${answer.drained ? "drained" : "in use"}`);
}

/** Declares that an order of unknown outcome can have no further effect. */
export async function endOrder(
  context: CommandContext,
  order: string,
): Promise<void> {
  const { options, output } = context;
  const order_id = order as OrderId;
  const makeBody = (edit_id: EditId) =>
    ({ edit_id, order_id }) satisfies OrderEndRequest;
  const answer = await withClient(
    context,
    (client) =>
      sendEdit<OrderEndAnswer>(context, client, {
        path: operatorPaths.orderEnds,
        makeBody,
      }),
  );
  if (options.flag("json")) return output.json(answer);
  output.line(`order ${answer.order_id} has ended`);
}
