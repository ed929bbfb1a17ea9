/**
 * TCP proxy that injects faults, controlled over HTTP.
 *
 * @module
 */

import { fastify, type FastifyInstance } from "fastify";
import { SeededRandom } from "rhubarbstage";
import { FaultLink } from "./fault_link.ts";
import type {
  FaultProxyOptions,
  LinkFaultsChange,
  LinkRecords,
  ProxyLink,
} from "./fault_proxy_types.ts";

/** Proxies named links, all on loopback. */
export class FaultProxy {
  #options: FaultProxyOptions;
  #random: SeededRandom;
  #links = new Map<string, FaultLink>();
  #control: FastifyInstance | undefined;

  constructor(options: FaultProxyOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
  }

  /** Opens all links; resolves with their ports by name. */
  async listen(): Promise<ReadonlyMap<string, number>> {
    const ports = new Map<string, number>();
    for (const link of this.#options.links) {
      ports.set(link.name, await this.add(link));
    }
    return ports;
  }

  /** Opens a further link; resolves with its port. */
  async add(link: ProxyLink): Promise<number> {
    const opened = new FaultLink(link, this.#random);
    this.#links.set(link.name, opened);
    return await opened.listen();
  }

  /** Returns a link by name; throws if it does not exist. */
  link(name: string): FaultLink {
    const link = this.#links.get(name);
    if (link === undefined) throw new Error(`Link "${name}" does not exist`);
    return link;
  }

  /** Faults and traffic of each link. */
  get records(): Readonly<Record<string, LinkRecords>> {
    return Object.fromEntries(
      [...this.#links].map(([name, link]) => [name, link.records]),
    );
  }

  /** Starts the control interface; resolves with its origin. */
  async control(): Promise<string> {
    const server = fastify({ forceCloseConnections: true });
    this.#control = server;
    server.get("/links", () => this.records);
    server.post("/links", async (request) => {
      const link = request.body as ProxyLink;
      return { port: await this.add(link) };
    });
    server.post("/links/:name/faults", (request) => {
      const { name } = request.params as { name: string };
      this.link(name).change(request.body as LinkFaultsChange);
      return {};
    });
    server.post("/links/:name/heal", (request) => {
      this.link((request.params as { name: string }).name).heal();
      return {};
    });
    server.post("/links/:name/cut", (request) => {
      this.link((request.params as { name: string }).name).cut();
      return {};
    });
    const port = this.#options.controlPort ?? 0;
    return await server.listen({ host: "127.0.0.1", port });
  }

  /** Closes all links and the control interface. */
  async close(): Promise<void> {
    for (const link of this.#links.values()) link.close();
    await this.#control?.close();
  }
}
