/**
 * Settings of requests, read from the active settings tree.
 *
 * @module
 */

import type {
  CustomerId,
  ModelName,
  ServiceName,
  WorkKind,
} from "rhubarbstage";
import {
  type EffectiveServiceSettings,
  type EffectiveSettings,
  type ModelQuery,
  type ServiceQuery,
  SettingsSource,
} from "@rhubarbstage/gateway";
import { findRoute } from "@rhubarbstage/settings";
import type { ActiveSettings } from "./active_settings.ts";

const defaultKind = "default" as WorkKind;

/** Resolves settings for this host's region from the active settings tree. */
export class HostSettingsSource extends SettingsSource {
  #settings: ActiveSettings;

  constructor(settings: ActiveSettings) {
    super();
    this.#settings = settings;
  }

  override models(_customer: CustomerId): readonly ModelName[] {
    const { tree, region } = this.#settings;
    return tree.services(region).flatMap(({ models }) => models);
  }

  override forModel(query: ModelQuery): EffectiveSettings | undefined {
    const { tree, region } = this.#settings;
    const service = tree.serviceOfModel(region, query.model);
    if (service === undefined || service.type !== "model") return undefined;
    return this.#effective({
      customer: query.customer,
      service: service.service,
      kind: query.kind ?? defaultKind,
    });
  }

  override forService(
    query: ServiceQuery,
  ): EffectiveServiceSettings | undefined {
    const { tree, region } = this.#settings;
    const service = tree.service(region, query.service);
    if (service === undefined || service.type !== "plain") return undefined;
    const { method, path } = query;
    const route = findRoute(service, { method, path });
    // Callers must not raise their priority by naming another kind
    // than the route's.
    const kind = route.kind === defaultKind
      ? query.kind ?? defaultKind
      : route.kind;
    const effective = this.#effective({
      customer: query.customer,
      service: service.service,
      kind,
    });
    return { ...effective, repeatable: route.repeatable };
  }

  #effective(work: {
    customer: CustomerId;
    service: ServiceName;
    kind: WorkKind;
  }): EffectiveSettings {
    const { tree, region, isolated, configuration } = this.#settings;
    const settings = tree.resolveSettings({ region, ...work });
    return {
      revision: configuration.revision,
      isolated,
      whenIsolated: settings.whenIsolated,
      bodyLimit: settings.bodyLimit,
      service: work.service,
      kind: work.kind,
      timeout: settings.deadline,
      work: settings,
    };
  }
}
