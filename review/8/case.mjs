// A request crashes each server that runs it; after rolling restarts it comes again.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ask, bounds, now, plainConfiguration, PlainServer, run, sleep, trouble } from "../common-2/system.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const window = bounds["stable-window-ms"];
const poisonPath = "/orders/poison";
const rounds = 4;

/** A server that the request crashes; it is back as a new process after some seconds. */
class CrashingServer extends PlainServer {
  runs = [];
  async handle(request, response) {
    if (request.url === poisonPath && request.headers["x-rhubarbstage-expect-instance"] === this.id) {
      const id = request.headers["x-rhubarbstage-request-id"];
      const lost = this.arrivals.filter(({ done }) => !done).map((arrival) => arrival.id);
      this.runs.push({ id, at: now(), lost });
      this.system.record.line(`${this.name} runs ${poisonPath} ${id} and crashes, with ${lost.length} other requests`);
      clearInterval(this.timer);
      this.http.close();
      this.http.closeAllConnections();
      setTimeout(() => void this.restart(), 2500);
      return;
    }
    await super.handle(request, response);
  }
  async restart() {
    if (this.gone) return;
    this.count = (this.count ?? 0) + 1;
    this.id = `${this.name}-${this.count}`;
    this.born = Date.now();
    this.sequence = 0;
    this.running = 0;
    this.arrivals = [];
    this.system.record.line(`${this.name} is back as ${this.id}`);
    await this.start();
  }
}

await run(folder, { cores: 3, fronts: 2, tolerate: 1 }, async (system) => {
  const { record } = system;
  await system.start(plainConfiguration(1));
  const servers = [];
  for (let index = 0; index < 4; index += 1) {
    const server = new CrashingServer(system, { name: `server-${index + 1}`, index, service: "desk", workMs: 150 });
    await server.start();
    servers.push(server);
  }
  await system.ready();
  const answers = [];
  let isOver = false;
  const clients = system.fronts.map(async (front) => {
    while (!isOver) {
      if (front.child.exitCode === null) answers.push(ask(system, front, { path: "/orders/1", body: `order ${answers.length}` }));
      await sleep(100);
    }
  });
  await sleep(window + 1500);
  /** The request comes again, eight times in 6 s, at one machine after the other. */
  const comeAgain = async () => {
    for (let attempt = 0; attempt < 8; attempt += 1) {
      const front = system.fronts[(attempt + 1) % system.fronts.length];
      await ask(system, front, { path: poisonPath, body: "the same body" });
      await sleep(750);
    }
  };
  await comeAgain();
  for (let round = 0; round < rounds; round += 1) {
    if (trouble) {
      record.line(`rolling restart ${round + 1} of the front machines`);
      for (const front of system.fronts) {
        front.signal("SIGTERM");
        await front.exit;
        await sleep(300);
        await front.start();
        await sleep(1000);
      }
    } else await sleep(9_500);
    // Both machines have been calm for the stable window.
    await sleep(window + 500);
    await comeAgain();
  }
  isOver = true;
  await Promise.all(clients);
  const results = await Promise.all(answers);
  const runs = servers.flatMap(({ runs }) => runs).sort((left, right) => left.at - right.at);
  const third = runs[2];
  const retries = third === undefined ? [] : runs.filter(({ at }) => at > third.at + window);
  const lost = runs.flatMap(({ lost }) => lost).filter((id) => results.find((result) => result.id === id)?.status !== 200);
  record.line(`the request ran ${runs.length} times and crashed as many servers; ${lost.length} orders of other clients that ran beside it ended without the server's answer`);
  record.line(`${retries.length} runs later than ${window} ms after the third crash, all sent by machines in touch; the limit is 3`);
  return retries.length > 3;
});
