/**
 * Options and records of the fault proxy.
 *
 * @module
 */

/** Direction of a link: `forward` is from the client to the target. */
export type ProxyDirection = "forward" | "backward";

/**
 * Loss in one direction. `hold` delivers bytes when the fault ends, like
 * retransmission after a partition. `discard` drops bytes and, when the fault
 * ends, resets the connections that lost some.
 */
export type ProxyLoss = "none" | "hold" | "discard";

/** Faults of one direction of a link. */
export interface DirectionFaults {
  loss: ProxyLoss;
  /** Delay of each chunk in milliseconds. */
  delay: number;
  /** Largest random addition to `delay` in milliseconds. */
  jitter: number;
  /** Bandwidth of each connection in bytes per second; 0 is unlimited. */
  bytesPerSecond: number;
}

/** Faults of one link. */
export interface LinkFaults {
  forward: DirectionFaults;
  backward: DirectionFaults;
  /** Whether new connections are reset at once. */
  refuse: boolean;
  /**
   * Largest extra delay in milliseconds, drawn once for each connection, so
   * that bytes of different connections overtake each other.
   */
  reorder: number;
}

/** A partial update of the faults of a link. */
export interface LinkFaultsChange {
  readonly forward?: Partial<DirectionFaults>;
  readonly backward?: Partial<DirectionFaults>;
  readonly refuse?: boolean;
  readonly reorder?: number;
}

/** A listening port and the target of its connections. */
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

/** Faults and traffic of a link. */
export interface LinkRecords {
  readonly port: number;
  readonly faults: LinkFaults;
  readonly openConnections: number;
  readonly connections: number;
  readonly forwardBytes: number;
  readonly backwardBytes: number;
}
