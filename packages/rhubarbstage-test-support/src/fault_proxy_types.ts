/**
 * Options and records of the fault proxy.
 *
 * @module
 */

/** Side of a link: from the connecting side to the target, or back. */
export type ProxyDirection = "forward" | "backward";

/**
 * What happens to bytes of one direction. `hold` keeps them and delivers them
 * late, as retransmission after a partition does; `discard` loses them, and the
 * connections that lost bytes are cut when the fault ends.
 */
export type ProxyLoss = "none" | "hold" | "discard";

/** Faults of one direction of a link. */
export interface DirectionFaults {
  loss: ProxyLoss;
  /** Milliseconds that each chunk is late. */
  delay: number;
  /** Largest random addition to `delay` in milliseconds. */
  jitter: number;
  /** Bytes a second of each connection; 0 is unlimited. */
  bytesPerSecond: number;
}

/** Faults of one link. */
export interface LinkFaults {
  forward: DirectionFaults;
  backward: DirectionFaults;
  /** Whether new connections are closed at once. */
  refuse: boolean;
  /**
   * Largest extra delay in milliseconds, drawn once for each connection, so
   * that bytes of different connections overtake each other.
   */
  reorder: number;
}

/** A change of some faults of a link. */
export interface LinkFaultsChange {
  readonly forward?: Partial<DirectionFaults>;
  readonly backward?: Partial<DirectionFaults>;
  readonly refuse?: boolean;
  readonly reorder?: number;
}

/** One listening port and the address behind it. */
export interface ProxyLink {
  readonly name: string;
  /** Port to listen on; 0 picks a free one. */
  readonly port?: number;
  /** Host and port, for example `127.0.0.1:9000`. */
  readonly target: string;
}

/** Options of a fault proxy. */
export interface FaultProxyOptions {
  readonly seed: number;
  readonly links: readonly ProxyLink[];
  /** Port of the control interface; 0 picks a free one. */
  readonly controlPort?: number;
}

/** What a link has seen. */
export interface LinkRecords {
  readonly port: number;
  readonly faults: LinkFaults;
  readonly openConnections: number;
  readonly connections: number;
  readonly forwardBytes: number;
  readonly backwardBytes: number;
}
