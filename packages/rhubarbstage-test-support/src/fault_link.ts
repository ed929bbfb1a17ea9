/**
 * One proxied port of the fault proxy.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { SeededRandom } from "rhubarbstage";
import { FaultPipe } from "./fault_pipe.ts";
import type {
  DirectionFaults,
  LinkFaults,
  LinkFaultsChange,
  LinkRecords,
  ProxyLink,
} from "./fault_proxy_types.ts";

interface Connection {
  readonly downstream: Socket;
  readonly upstream: Socket;
  readonly forward: FaultPipe;
  readonly backward: FaultPipe;
}

function noFaults(): DirectionFaults {
  return { loss: "none", delay: 0, jitter: 0, bytesPerSecond: 0 };
}

/** Proxies the connections of one port to its target and injects faults. */
export class FaultLink {
  #link: ProxyLink;
  #random: SeededRandom;
  #server: Server;
  #connections = new Set<Connection>();
  #accepted = 0;
  #bytes = { forward: 0, backward: 0 };
  #faults: LinkFaults = {
    forward: noFaults(),
    backward: noFaults(),
    refuse: false,
    reorder: 0,
  };

  constructor(link: ProxyLink, random: SeededRandom) {
    this.#link = link;
    this.#random = random;
    this.#server = createServer(
      { allowHalfOpen: true, noDelay: true },
      (downstream) => this.#accept(downstream),
    );
  }

  /** Listens on loopback; resolves with the port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(this.#link.port ?? 0, "127.0.0.1", () => {
        resolve(this.#port);
      });
    });
  }

  get records(): LinkRecords {
    return {
      port: this.#port,
      faults: this.#faults,
      openConnections: this.#connections.size,
      connections: this.#accepted,
      forwardBytes: this.#bytes.forward,
      backwardBytes: this.#bytes.backward,
    };
  }

  /** Updates the faults of open and new connections. */
  change(change: LinkFaultsChange): void {
    const { forward, backward, ...rest } = change;
    Object.assign(this.#faults, rest);
    Object.assign(this.#faults.forward, forward);
    Object.assign(this.#faults.backward, backward);
    for (const connection of this.#connections) {
      this.#cutIfDamaged(connection);
      connection.forward.deliver();
      connection.backward.deliver();
    }
  }

  /** Removes all faults. */
  heal(): void {
    this.change({
      forward: noFaults(),
      backward: noFaults(),
      refuse: false,
      reorder: 0,
    });
  }

  /** Resets all open connections. */
  cut(): void {
    for (const connection of this.#connections) this.#end(connection);
  }

  close(): void {
    this.cut();
    this.#server.close();
  }

  get #port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  #accept(downstream: Socket): void {
    this.#accepted += 1;
    if (this.#faults.refuse) {
      reset(downstream);
      return;
    }
    const separator = this.#link.target.lastIndexOf(":");
    const upstream = connect({
      host: this.#link.target.slice(0, separator),
      port: Number(this.#link.target.slice(separator + 1)),
      allowHalfOpen: true,
      noDelay: true,
    });
    const extraDelay = this.#random.next() * this.#faults.reorder;
    const shared = { random: this.#random, extraDelay };
    const connection: Connection = {
      downstream,
      upstream,
      forward: new FaultPipe({
        ...shared,
        source: downstream,
        sink: upstream,
        faults: () => this.#faults.forward,
        onBytes: (count) => this.#bytes.forward += count,
      }),
      backward: new FaultPipe({
        ...shared,
        source: upstream,
        sink: downstream,
        faults: () => this.#faults.backward,
        onBytes: (count) => this.#bytes.backward += count,
      }),
    };
    this.#connections.add(connection);
    for (const socket of [downstream, upstream]) {
      socket.on("error", () => this.#end(connection));
      socket.on("close", () => this.#endWhenClosed(connection));
    }
  }

  #cutIfDamaged(connection: Connection): void {
    const { forward, backward } = this.#faults;
    const healed = forward.loss !== "discard" && backward.loss !== "discard";
    const damaged = connection.forward.hasLostBytes ||
      connection.backward.hasLostBytes;
    if (healed && damaged) this.#end(connection);
  }

  #endWhenClosed(connection: Connection): void {
    if (!connection.downstream.closed || !connection.upstream.closed) return;
    this.#end(connection);
  }

  #end(connection: Connection): void {
    if (!this.#connections.delete(connection)) return;
    connection.forward.stop();
    connection.backward.stop();
    reset(connection.downstream);
    reset(connection.upstream);
  }
}

/**
 * Resets a socket unless it is connecting or ending: Node.js 20 leaks the
 * handle of an ending one.
 */
function reset(socket: Socket): void {
  if (socket.destroyed || socket.writableEnded || socket.connecting) {
    socket.destroy();
  } else socket.resetAndDestroy();
}
