/**
 * Bootstraps a cluster once, with a grant from every host.
 *
 * @module
 */

import { RhubarbstageError } from "rhubarbstage";
import type { HostId, ReplicaId } from "rhubarbstage";
import type { Seat } from "@rhubarbstage/consensus";
import type { BootstrapGrant, DataFolder } from "@rhubarbstage/storage";
import { requestType, TransportError } from "@rhubarbstage/transport";
import type { Transport } from "@rhubarbstage/transport";
import { defaultCallTimeout } from "./constants.ts";
import type { BootstrapOptions } from "./options.ts";

/** Request to a host; `commit` follows the grants of all hosts. */
export type BootstrapStep =
  | { readonly kind: "grant"; readonly grant: BootstrapGrant }
  | {
    readonly kind: "commit";
    readonly grant: BootstrapGrant;
    readonly seats: readonly Seat[];
  };

/** Sends a step to a host, which answers with its replica id. */
export const bootstrapRequest = requestType<BootstrapStep, ReplicaId>(
  "bootstrap",
);

/** Options of a {@linkcode BootstrapParticipant}. */
export interface BootstrapParticipantOptions {
  readonly folder: DataFolder;
  /** Whether the logs of all groups on this host are empty. */
  readonly isEmpty: () => boolean;
  /** Writes the first entry of every group. */
  readonly writeInitialEntries: (seats: readonly Seat[]) => Promise<void>;
}

/** Handles bootstrap steps sent to this host, one at a time. */
export class BootstrapParticipant {
  readonly #options: BootstrapParticipantOptions;
  #previousStep: Promise<unknown> = Promise.resolve();

  constructor(options: BootstrapParticipantOptions) {
    this.#options = options;
  }

  /**
   * Throws `forbidden` when this host cannot take the step, for example after
   * another grant.
   */
  handleStep(step: BootstrapStep): Promise<ReplicaId> {
    const run = () =>
      step.kind === "grant" ? this.#grant(step.grant) : this.#commit(step);
    const answer = this.#previousStep.then(run, run);
    this.#previousStep = answer.catch(() => {});
    return answer;
  }

  async #grant(grant: BootstrapGrant): Promise<ReplicaId> {
    const { folder, isEmpty } = this.#options;
    const { identity } = folder;
    if (identity.grant !== undefined) {
      if (identity.grant.bootstrap === grant.bootstrap) return identity.replica;
      throw forbiddenError(
        `Host "${identity.host}" has already granted bootstrap "${identity.grant.bootstrap}"`,
      );
    }
    if (!isEmpty()) {
      throw forbiddenError(
        `Host "${identity.host}" already belongs to a cluster`,
      );
    }
    if (!grant.hosts.includes(identity.host)) {
      throw forbiddenError(
        `Host "${identity.host}" is not in the bootstrap's hosts: ${
          grant.hosts.join(", ")
        }`,
      );
    }
    await folder.changeIdentity({ grant });
    return identity.replica;
  }

  async #commit(
    step: Extract<BootstrapStep, { kind: "commit" }>,
  ): Promise<ReplicaId> {
    const { folder, writeInitialEntries: write } = this.#options;
    const { identity } = folder;
    const { replica, host } = identity;
    if (identity.grant?.bootstrap !== step.grant.bootstrap) {
      throw forbiddenError(
        `Host "${host}" has not granted bootstrap "${step.grant.bootstrap}"`,
      );
    }
    if (!step.seats.some((seat) => seat.replica === replica)) {
      throw forbiddenError(
        `Replica "${replica}" of host "${host}" is not in the seats to commit`,
      );
    }
    if (identity.isBootstrapped) return replica;
    await write(step.seats);
    await folder.changeIdentity({ isBootstrapped: true });
    return replica;
  }
}

/**
 * Collects the grants of all hosts, then commits; can be retried on the same
 * host. All bootstraps request grants in the same order of hosts, so that of
 * two concurrent ones for the same hosts only one obtains any grant.
 */
export async function runBootstrap(
  options: BootstrapOptions & {
    transport: Transport;
    replica: ReplicaId;
    local: BootstrapParticipant;
  },
): Promise<readonly Seat[]> {
  const { transport, local } = options;
  const hosts = [...new Set(options.hosts)].sort();
  if (!hosts.includes(transport.host)) {
    throw forbiddenError(
      `Local host "${transport.host}" is not in the bootstrap's hosts: ${
        hosts.join(", ")
      }`,
    );
  }
  // Derived from the request, so that a retry after a crash matches earlier
  // grants.
  const bootstrap = `${options.replica} ${hosts.join(" ")}`;
  const grant: BootstrapGrant = { bootstrap, hosts };
  const call = async (host: HostId, step: BootstrapStep) => {
    options.signal?.throwIfAborted();
    if (host === transport.host) return await local.handleStep(step);
    const timeout = options.timeout ?? defaultCallTimeout;
    const request = { to: host, body: step, timeout };
    return await transport.request(bootstrapRequest, request).catch(
      (thrown) => {
        if (!(thrown instanceof TransportError)) throw thrown;
        throw new RhubarbstageError("no_quorum", {
          message:
            `Host "${host}" did not answer bootstrap step "${step.kind}"`,
          cause: thrown,
        });
      },
    );
  };
  const seats: Seat[] = [];
  for (const host of hosts) {
    seats.push({ host, replica: await call(host, { kind: "grant", grant }) });
  }
  for (const host of hosts) await call(host, { kind: "commit", grant, seats });
  return seats;
}

function forbiddenError(message: string): RhubarbstageError {
  return new RhubarbstageError("forbidden", { message });
}
