/**
 * Links to other hosts, replicated groups and the configuration.
 *
 * @module
 */

import type { Revision } from "rhubarbstage";
import {
  type Configuration,
  ConfigurationClient,
  EditClient,
} from "@rhubarbstage/control";
import type { Transport } from "@rhubarbstage/transport";
import type { HostContext } from "./host_context.ts";
import { openTransport } from "./host_transport.ts";
import { ReplicatedGroups } from "./seat_operations.ts";
import { validateTree } from "./tree_conversion.ts";

/** Components that connect a host to the replicated state. */
export interface Replication {
  readonly transport: Transport;
  readonly seats: ReplicatedGroups;
  readonly configuration: ConfigurationClient;
  readonly edits: EditClient;
  /** Called with each configuration that comes into force. */
  onConfiguration: (configuration: Configuration) => void;
}

/** Opens transport and data folder; the caller starts `configuration`. */
export async function openReplication(
  context: HostContext,
): Promise<Replication> {
  const { process, events, settings, stopController: controller } = context;
  const transport = await openTransport(context);
  const seats = await ReplicatedGroups.open({
    process,
    transport,
    onFailure: ({ group, error }) =>
      events.record("group_failed", { group, error: error.message }, "error"),
    disk: events.diskEvents(),
  });
  const replication: Replication = {
    transport,
    seats,
    configuration: new ConfigurationClient({
      group: seats.control,
      signal: controller.signal,
      onConfiguration: (configuration) => {
        applyConfiguration(context, configuration);
        replication.onConfiguration(configuration);
      },
    }),
    edits: new EditClient({
      group: seats.control,
      validate: validateTree,
      isolated: () => settings.ready && settings.isolated,
    }),
    onConfiguration: () => {},
  };
  settings.client = replication.configuration;
  return replication;
}

function applyConfiguration(
  context: HostContext,
  configuration: Configuration,
): void {
  const { settings, events } = context;
  const previous: Revision | undefined = settings.revision;
  settings.update(configuration);
  const { revision } = configuration;
  if (previous !== revision) events.record("revision_in_force", { revision });
}
