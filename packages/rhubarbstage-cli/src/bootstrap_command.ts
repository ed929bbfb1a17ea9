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

/** Hosts from `--hosts`, or the replicas that the settings list. */
async function listReplicas(
  options: ParsedOptions,
): Promise<readonly HostId[]> {
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
export async function bootstrap(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const hosts = await listReplicas(options);
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
  output.line(`${answer.cluster} formed at revision ${answer.revision}`);
  output.table(
    ["host", "replica"],
    answer.seats.map(({ host, replica }) => [host, replica]),
  );
}

/** Finds the replica whose seats a lost host holds. */
function findReplica(status: StatusAnswer, lost: HostId): ReplicaId {
  const replicas = new Set(
    status.groups.flatMap(({ seats }) => seats)
      .filter(({ host, voter }) => voter && host === lost)
      .map(({ replica }) => replica),
  );
  const [replica] = replicas;
  if (replica !== undefined && replicas.size === 1) return replica;
  throw new UsageError(
    replica === undefined
      ? `${lost} has no seat that the asked host knows`
      : `${lost} has several replicas; name one of ${[...replicas].join(", ")}`,
  );
}

/** Moves the seats of a lost replica. */
export async function repair(context: CommandContext): Promise<void> {
  const { options, output } = context;
  const lost = options.required("lost") as HostId;
  const replacement = (options.text("replacement") ?? lost) as HostId;
  const named = options.text("replica") as ReplicaId | undefined;
  const answer = await withClient(context, (client) => {
    const makeBody = async (edit_id: EditId) => {
      const status = await client.get<StatusAnswer>(operatorPaths.status);
      const replica = named ?? findReplica(status, lost);
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
