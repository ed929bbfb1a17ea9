/**
 * Options and records of the fake plain service.
 *
 * @module
 */

/** Settings of a fake service that tests can change while it runs. */
export interface FakeServiceSwitches {
  /** Delay before a request is executed, in milliseconds. */
  delayBefore: number;
  /** Delay between execution and answer, in milliseconds. */
  delayAfter: number;
  /** Number of next requests whose connection is closed before execution. */
  closeBefore: number;
  /** Number of next requests whose connection is closed after execution. */
  closeAfter: number;
  /** Number of next requests whose answer is truncated in its body. */
  breakAnswer: number;
  /** Number of next requests refused with `rhubarbstage-outcome: not_run`. */
  refuse: number;
  /**
   * Whether the connection is closed after each answer without a
   * `connection: close` header.
   */
  closeKeptAlive: boolean;
  /** Status of answers to executed requests. */
  status: number;
  /** Bytes added to the body of each answer. */
  padding: number;
  /** Whether announcements are sent. */
  announcing: boolean;
}

/** Options of a fake service. Times are in milliseconds. */
export interface FakeServiceOptions extends FakeServiceSwitches {
  id: string;
  address: string;
  port: number;
  /** Origin in announcements; empty uses the origin of the service. */
  announcedUrl: string;
  region: string;
  availabilityZone: string;
  services: readonly string[];
  capacity: number;
  /** Origins of the hosts to which the service announces itself. */
  announceOrigins: readonly string[];
  announceToken: string;
  announceInterval: number;
}

/** One execution of a request. */
export interface FakeExecution {
  /** Header `idempotency-key`. */
  readonly key: string;
  /** Header `x-send-id`, which identifies a request of a test. */
  readonly sendId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Requests and executions of a fake service since its start. */
export interface FakeServiceRecords {
  readonly incarnation: number;
  /** Number of received requests, executed or not. */
  readonly arrived: number;
  readonly connections: number;
  readonly executions: readonly FakeExecution[];
  /** Number of executions of each idempotency key. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Default values of all options. */
export const fakeServiceDefaults: FakeServiceOptions = {
  id: "service-1",
  address: "127.0.0.1",
  port: 0,
  announcedUrl: "",
  region: "lombardia",
  availabilityZone: "lombardia-1",
  services: ["top-ups"],
  capacity: 64,
  announceOrigins: [],
  announceToken: "",
  announceInterval: 500,
  delayBefore: 0,
  delayAfter: 0,
  closeBefore: 0,
  closeAfter: 0,
  breakAnswer: 0,
  refuse: 0,
  closeKeptAlive: false,
  status: 200,
  padding: 0,
  announcing: true,
};
