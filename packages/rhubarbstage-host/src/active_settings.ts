/**
 * The settings tree that is active on this host.
 *
 * @module
 */

import { type Region, type Revision, RhubarbstageError } from "rhubarbstage";
import type { Configuration, ConfigurationClient } from "@rhubarbstage/control";
import { SettingsTree, type TreeDocument } from "@rhubarbstage/settings";

/** Keeps the settings tree of the newest confirmed configuration. */
export class ActiveSettings {
  readonly region: Region;
  #client: ConfigurationClient | undefined;
  #tree: SettingsTree | undefined;
  #revision: Revision | undefined;

  constructor(options: { readonly region: Region }) {
    this.region = options.region;
  }

  /** Client that confirms the configuration; set once at start. */
  set client(client: ConfigurationClient) {
    this.#client = client;
  }

  /** Applies a newer configuration; an unchanged tree is kept. */
  update(configuration: Configuration): void {
    this.#revision = configuration.revision;
    const document = configuration.tree as unknown as TreeDocument;
    if (this.#tree?.document === document) return;
    this.#tree = new SettingsTree(document);
  }

  /** Active settings tree. Throws `isolated` before the first confirmation. */
  get tree(): SettingsTree {
    if (this.#tree !== undefined) return this.#tree;
    throw new RhubarbstageError("isolated", {
      message: "This host has no configuration yet",
    });
  }

  /** Revision of the active configuration, if there is one. */
  get revision(): Revision | undefined {
    return this.#revision;
  }

  /** The active configuration. Throws `isolated` before the first one. */
  get configuration(): Configuration {
    if (this.#client !== undefined) return this.#client.configuration;
    throw new RhubarbstageError("isolated");
  }

  /** Whether a configuration is active. */
  get ready(): boolean {
    return this.#tree !== undefined;
  }

  /** Whether the last confirmation is too old, or there was none. */
  get isolated(): boolean {
    return this.#client?.isolated ?? true;
  }

  /** Age of the last confirmation, in milliseconds; infinite without one. */
  get confirmationAge(): number {
    return this.#client?.confirmationAge ?? Infinity;
  }
}
