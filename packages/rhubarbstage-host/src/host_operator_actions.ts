/**
 * Queries and commands of operators. Bootstrap and repair require a host with a
 * data folder.
 *
 * @module
 */

import type { Revision } from "rhubarbstage";
import {
  type Confirmation,
  type ControlGroup,
  type EditClient,
  RevisionConflictError,
} from "@rhubarbstage/control";
import { OperatorActions } from "@rhubarbstage/gateway";
import type {
  BackendsAnswer,
  BootstrapAnswer,
  BootstrapRequest,
  DrainAnswer,
  DrainRequest,
  EditAnswer,
  EditRequest,
  EffectiveAnswer,
  HistoryAnswer,
  OrderEndAnswer,
  OrderEndRequest,
  RepairAnswer,
  RepairRequest,
  SettingsPath,
  StatusAnswer,
  TimelineAnswer,
  TimelineScope,
  TreeAnswer,
  TreeDocument,
} from "@rhubarbstage/settings";
import type { TimelineFilter } from "@rhubarbstage/telemetry";
import type { BackendRegistry } from "./backend_registry.ts";
import type { HostStatusReport } from "./host_status.ts";
import type { OrderCoordinator } from "./order_coordinator.ts";
import type { ReplicatedGroups } from "./seat_operations.ts";
import type { ActiveSettings } from "./active_settings.ts";
import type { TimelineQueries } from "./timeline_queries.ts";
import { toControlOperation, toHistoryEntry } from "./tree_conversion.ts";

/** Options of {@linkcode HostOperatorActions}. */
export interface HostOperatorActionsOptions {
  readonly control: ControlGroup;
  readonly edits: EditClient;
  readonly settings: ActiveSettings;
  readonly backends: BackendRegistry;
  readonly orders: OrderCoordinator;
  readonly seats: ReplicatedGroups;
  readonly status: HostStatusReport;
  readonly timeline: TimelineQueries;
}

/** Implements the operator interface of `@rhubarbstage/settings`. */
export class HostOperatorActions extends OperatorActions {
  #options: HostOperatorActionsOptions;

  constructor(options: HostOperatorActionsOptions) {
    super();
    this.#options = options;
  }

  override async tree(): Promise<TreeAnswer> {
    const confirmation = await this.#options.control.query<Confirmation>(
      "confirm",
      {},
    );
    const tree = (confirmation.tree ?? {}) as unknown as TreeDocument;
    return { revision: confirmation.revision, tree };
  }

  override effective(path: SettingsPath): EffectiveAnswer {
    const { settings } = this.#options;
    const { revision } = settings.configuration;
    return { revision, settings: settings.tree.explain(path) };
  }

  override async edit(
    request: EditRequest,
    operator: string,
  ): Promise<EditAnswer> {
    const { edit_id, expected_revision } = request;
    const revisionBefore = this.#options.settings.revision ?? 0;
    const revision = await this.#options.edits.submit({
      editId: edit_id,
      expectedRevision: expected_revision,
      operations: request.operations.map(toControlOperation),
      author: operator,
    });
    return { edit_id, revision, replayed: revision <= revisionBefore };
  }

  override async history(limit: number): Promise<HistoryAnswer> {
    const entries = await this.#options.edits.history(limit);
    const newest = entries[0]?.revision;
    const revision = newest ?? (await this.tree()).revision;
    return { revision, entries: entries.map(toHistoryEntry) };
  }

  override status(): StatusAnswer {
    return this.#options.status.report();
  }

  override async backends(): Promise<BackendsAnswer> {
    const openOrders = await this.#options.orders.listOpen();
    return { backends: this.#options.status.backends(openOrders) };
  }

  override async drain(
    request: DrainRequest,
    operator: string,
  ): Promise<DrainAnswer> {
    const { edit_id, server, drained } = request;
    await this.#options.edits.setDrain({
      commandId: edit_id,
      backendServer: server,
      drained,
      author: operator,
    });
    const replayed = this.#options.backends.isDrained(server) === drained;
    return { edit_id, server, drained, replayed };
  }

  override timeline(
    filter: TimelineFilter,
    scope: TimelineScope,
  ): Promise<TimelineAnswer> {
    return this.#options.timeline.query(filter, scope);
  }

  override async bootstrap(
    request: BootstrapRequest,
    operator: string,
  ): Promise<BootstrapAnswer> {
    const { edit_id, hosts, tree } = request;
    const bootstrapped = await this.#options.seats.bootstrap(hosts);
    const operations = [{ path: "", set: tree }];
    const revision = await this.#submitFirstTree(
      { edit_id, expected_revision: 1 as Revision, operations },
      operator,
    );
    return { ...bootstrapped, revision };
  }

  override async repair(request: RepairRequest): Promise<RepairAnswer> {
    const { edit_id } = request;
    const replayed = await this.#options.seats.repair(request);
    const groups = this.#options.status.groups();
    return { edit_id, groups, replayed };
  }

  override async endOrder(request: OrderEndRequest): Promise<OrderEndAnswer> {
    const { edit_id, order_id } = request;
    const replayed = await this.#options.orders.endByOperator(order_id);
    return { edit_id, order_id, replayed };
  }

  async #submitFirstTree(
    request: EditRequest,
    operator: string,
  ): Promise<Revision> {
    try {
      return (await this.edit(request, operator)).revision;
    } catch (thrown) {
      // Other edits came first, for example because the bootstrap was sent
      // again; the current settings tree stays.
      if (thrown instanceof RevisionConflictError) {
        return (await this.tree()).revision;
      }
      throw thrown;
    }
  }
}
