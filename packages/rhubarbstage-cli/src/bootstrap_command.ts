/**
 * `rhubarbstage bootstrap` and `rhubarbstage repair`.
 *
 * @module
 */

import {
  type BootstrapAnswer,
  type BootstrapRequest,
  loadProcessSettings,
  loadTree,
  operatorPaths,
  type RepairAnswer,
  type RepairRequest,
} from "@rhubarbstage/settings";
import type { EditId, HostId } from "rhubarbstage";
import { type Context, sendEdit, withClient } from "./context.ts";
import { UsageError } from "./errors.ts";
import type { Options } from "./options.ts";

/** Hosts from `--hosts`, or the replicas that the settings list. */
async function listReplicas(options: Options): Promise<readonly HostId[]> {
  const named = options.text("hosts");
  if (named !== undefined) return named.split(",") as HostId[];
  const file = options.text("settings");
  if (file === undefined) {
    throw new UsageError("--hosts or --settings is missing");
  }
  const settings = await loadProcessSettings(file);
  const others = settings.peers.filter((peer) => peer.replica)
    .map((peer) => peer.host);
  const own = settings.dataFolder === undefined ? [] : [settings.host];
  return [...own, ...others].sort();
}

/** Forms the system. */
export async function bootstrap(context: Context): Promise<void> {
  const { options, output } = context;
  const hosts = await listReplicas(options);
  const tree = await loadTree(options.required("tree"));
  const makeBody = (editId: EditId) =>
    ({ edit_id: editId, hosts, tree }) satisfies BootstrapRequest;
  const answer = await withClient(
    context,
    (client) =>
      sendEdit<BootstrapAnswer>(context, client, {
        path: operatorPaths.bootstrap,
        makeBody,
      }),
  );
  if (options.flag("json")) return output.json(answer);
  output.line(`${answer.cluster} formed at revision ${answer.revision}`);
  output.table(
    ["host", "replica"],
    answer.seats.map(({ host, replica }) => [host, replica]),
  );
}

/** Moves the seats of a lost replica. */
export async function repair(context: Context): Promise<void> {
  const { options, output } = context;
  const lost = options.required("lost") as HostId;
  const replacement = (options.text("replacement") ?? lost) as HostId;
  const makeBody = (editId: EditId) =>
    ({ edit_id: editId, lost, replacement }) satisfies RepairRequest;
  const answer = await withClient(
    context,
    (client) =>
      sendEdit<RepairAnswer>(context, client, {
        path: operatorPaths.repairs,
        makeBody,
      }),
  );
  if (options.flag("json")) return output.json(answer);
  output.line(`${replacement} has the seats of ${lost} in all groups`);
  output.table(
    ["group", "leader", "commit index"],
    answer.groups.map((group) => [
      group.group,
      group.leader ?? "-",
      String(group.commit_index),
    ]),
  );
}
