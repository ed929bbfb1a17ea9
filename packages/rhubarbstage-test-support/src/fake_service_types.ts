/**
 * Options and records of the fake plain service.
 *
 * @module
 */

/** Behaviour of a fake service that tests may switch while it runs. */
export interface FakeServiceSwitches {
  /** Milliseconds before a request is run. */
  delayBefore: number;
  /** Milliseconds between running a request and answering it. */
  delayAfter: number;
  /** Next requests whose connection is closed before they are run. */
  closeBefore: number;
  /** Next requests whose connection is closed after they are run. */
  closeAfter: number;
  /** Next requests whose answer breaks off in its body. */
  breakAnswer: number;
  /** Next requests that are refused with `rhubarbstage-outcome: not_run`. */
  refuse: number;
  /**
   * Whether the connection is closed after each answer although the answer
   * does not say so.
   */
  closeKeptAlive: boolean;
  /** Status of answers to requests that were run. */
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
  /** Origin in announcements; its own by default. */
  announcedUrl: string;
  region: string;
  availabilityZone: string;
  services: readonly string[];
  capacity: number;
  /** Origins of the hosts to which the service announces itself. */
  entryHosts: readonly string[];
  announceToken: string;
  announceInterval: number;
}

/** One execution of a request. */
export interface FakeExecution {
  /** Header `idempotency-key`. */
  readonly key: string;
  /** Header `x-send-id`, by which a test tells its requests apart. */
  readonly sendId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** What a fake service has done so far. */
export interface FakeServiceRecords {
  readonly incarnation: number;
  /** Requests that arrived, whether they were run or not. */
  readonly arrived: number;
  readonly connections: number;
  readonly executions: readonly FakeExecution[];
  /** Executions of each key. */
  readonly counts: Readonly<Record<string, number>>;
}

/** Defaults of all options. */
export const fakeServiceDefaults: FakeServiceOptions = {
  id: "service-1",
  address: "127.0.0.1",
  port: 0,
  announcedUrl: "",
  region: "lombardia",
  availabilityZone: "lombardia-1",
  services: ["top-ups"],
  capacity: 64,
  entryHosts: [],
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
