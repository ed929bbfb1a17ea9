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
import type { HostContext } from "./foundation.ts";
import { openTransport } from "./links.ts";
import { SeatOperations } from "./seat_operations.ts";
import { validateTree } from "./tree_conversion.ts";

/** Parts that connect a host to the shared state. */
export interface Replication {
  readonly transport: Transport;
  readonly seats: SeatOperations;
  readonly configuration: ConfigurationClient;
  readonly edits: EditClient;
  /** Called with each configuration that comes into force. */
  onConfiguration: (configuration: Configuration) => void;
}

/** Opens the transport and the data folder. The configuration starts later. */
export async function openReplication(
  foundation: HostContext,
): Promise<Replication> {
  const { process, events, settings, stopController: stopped } = foundation;
  const transport = await openTransport(foundation);
  const seats = await SeatOperations.open({
    process,
    transport,
    onFailure: ({ group, error }) =>
      events.record("group_failed", { group, error: error.message }, "error"),
  });
  const replication: Replication = {
    transport,
    seats,
    configuration: new ConfigurationClient({
      group: seats.control,
      signal: stopped.signal,
      onConfiguration: (configuration) => {
        takeConfiguration(foundation, configuration);
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

function takeConfiguration(
  foundation: HostContext,
  configuration: Configuration,
): void {
  const { settings, events } = foundation;
  const before: Revision | undefined = settings.revision;
  settings.update(configuration);
  const { revision } = configuration;
  if (before !== revision) events.record("revision_in_force", { revision });
}
