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
  type StatusAnswer,
} from "@rhubarbstage/settings";
import type { EditId, HostId, ReplicaId } from "rhubarbstage";
import { type CommandContext, sendEdit, withClient } from "./context.ts";
import { seatAnswerTimeout } from "./constants.ts";
import { UsageError } from "./errors.ts";
import type { ParsedOptions } from "./options.ts";

/** Returns the hosts of `--hosts`, or the replica hosts of the settings. */
async function listReplicaHosts(
  options: ParsedOptions,
): Promise<readonly HostId[]> {
  const hostsOption = options.text("hosts");
  if (hostsOption !== undefined) return hostsOption.split(",") as HostId[];
  const file = options.text("settings");
  if (file === undefined) {
    throw new UsageError("--hosts or --settings is missing");
  }
  const settings = await loadProcessSettings(file);
  const peerHosts = settings.peers.filter((peer) => peer.replica)
    .map((peer) => peer.host);
  const ownHost = settings.dataFolder === undefined ? [] : [settings.host];
  return [...ownHost, ...peerHosts].sort();
}

/** Bootstraps a system from `--tree`, one replica on each host. */
export async function bootstrap(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const hosts = await listReplicaHosts(options);
  const tree = await loadTree(options.required("tree"));
  const makeBody = (editId: EditId) =>
    ({ edit_id: editId, hosts, tree }) satisfies BootstrapRequest;
  const change = { path: operatorPaths.bootstrap, makeBody };
  const answer = await withClient(
    context,
    (client) => sendEdit<BootstrapAnswer>(context, client, change),
    { timeout: seatAnswerTimeout },
  );
  if (options.flag("json")) return output.json(answer);
  output.line(`system ${answer.cluster} formed at revision ${answer.revision}`);
  output.table(
    ["host", "replica"],
    answer.seats.map(({ host, replica }) => [host, replica]),
  );
}

/** Returns the only replica with voter seats on a lost host. */
function findReplicaOfHost(status: StatusAnswer, lost: HostId): ReplicaId {
  const replicas = new Set(
    status.groups.flatMap(({ seats }) => seats)
      .filter(({ host, voter }) => voter && host === lost)
      .map(({ replica }) => replica),
  );
  const [replica] = replicas;
  if (replica !== undefined && replicas.size === 1) return replica;
  throw new UsageError(
    replica === undefined
      ? `${lost} has no voter seat in the status of the queried host`
      : `${lost} has several replicas; set --replica to one of ${
        [...replicas].join(", ")
      }`,
  );
}

/** Moves the seats of a lost replica to the replacement host. */
export async function repair(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const lost = options.required("lost") as HostId;
  const replacement = (options.text("replacement") ?? lost) as HostId;
  const replicaOption = options.text("replica") as ReplicaId | undefined;
  const answer = await withClient(context, (client) => {
    const makeBody = async (edit_id: EditId) => {
      const status = await client.get<StatusAnswer>(operatorPaths.status);
      const replica = replicaOption ?? findReplicaOfHost(status, lost);
      return { edit_id, lost, replica, replacement } satisfies RepairRequest;
    };
    const change = { path: operatorPaths.repairs, makeBody };
    return sendEdit<RepairAnswer>(context, client, change);
  }, { timeout: seatAnswerTimeout });
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
