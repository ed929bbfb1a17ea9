/**
 * Authentication of callers, operators and backend servers.
 *
 * @module
 */

import type { CustomerId } from "rhubarbstage";
import { Credentials } from "@rhubarbstage/gateway";
import { findToken, hashKey, type Token } from "@rhubarbstage/settings";
import type { ActiveSettings } from "./active_settings.ts";

/** Options of {@linkcode HostCredentials}. */
export interface HostCredentialsOptions {
  readonly settings: ActiveSettings;
  readonly operators: readonly Token[];
  readonly backendServers: readonly Token[];
}

/** Checks API keys against the settings tree and tokens against token files. */
export class HostCredentials extends Credentials {
  #options: HostCredentialsOptions;

  constructor(options: HostCredentialsOptions) {
    super();
    this.#options = options;
  }

  /** Looks the key up by its hash, so that timing reveals nothing of keys. */
  override customerOf(apiKey: string): CustomerId | undefined {
    if (apiKey === "") return undefined;
    return this.#options.settings.tree.customerOfKeyHash(hashKey(apiKey));
  }

  override operatorOf(token: string): string | undefined {
    return findToken(this.#options.operators, token)?.name;
  }

  override isBackendServer(token: string): boolean {
    return findToken(this.#options.backendServers, token) !== undefined;
  }
}
