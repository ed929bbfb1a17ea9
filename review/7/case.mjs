// A server leaves; a rolling restart follows; is the server used again?
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ask, bounds, now, plainConfiguration, PlainServer, run, sleep, trouble } from "../common-2/system.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
/** Time for which the server goes on after its DELETE was acknowledged, in ms. */
const lastTime = 14_000;

await run(folder, { cores: 3, fronts: 2, tolerate: 1 }, async (system) => {
  await system.start(plainConfiguration(1));
  const servers = [];
  for (let index = 0; index < 3; index += 1) {
    const server = new PlainServer(system, { name: `server-${index + 1}`, index, service: "desk" });
    await server.start();
    servers.push(server);
  }
  await system.ready();
  const answers = [];
  let isOver = false;
  const clients = system.fronts.map(async (front) => {
    while (!isOver) {
      answers.push(ask(system, front, answers.length % 2 === 0 ? {} : { method: "GET", path: "/reads/1" }));
      await sleep(60);
    }
  });
  // All machines are calm for longer than the stable window.
  await sleep(bounds["stable-window-ms"] + 1500);
  const leaving = servers[2];
  const { record } = system;
  // Its heartbeats go to the node that was named to it; the DELETE goes to another one.
  const acknowledging = system.cores.find(({ ip }) => !leaving.beatAddress.startsWith(`${ip}:`));
  record.line(`heartbeats of ${leaving.name} go to ${system.cores.find(({ ip }) => leaving.beatAddress.startsWith(`${ip}:`)).name}`);
  const status = await leaving.leave(acknowledging);
  const leftAt = now();
  record.line(`DELETE of ${leaving.name} at ${acknowledging.name}: ${status}`);
  if (status !== 200) throw new Error("the departure was not acknowledged");
  const end = sleep(lastTime).then(() => { record.line(`${leaving.name} ends`); leaving.close(); });
  const [restarted] = system.fronts;
  let lastCoreStart = -Infinity;
  if (trouble) {
    await sleep(300);
    // A rolling restart: one machine after the other, SIGTERM and start again.
    for (const machine of [acknowledging, restarted]) {
      machine.signal("SIGTERM");
      await machine.exit;
      await sleep(300);
      await machine.start();
      if (machine.kind === "core") lastCoreStart = now();
      await sleep(1000);
    }
  }
  await end;
  isOver = true;
  await Promise.all(clients);
  const results = await Promise.all(answers);
  const frontOf = new Map(results.map(({ id, front }) => [id, front]));
  const inTouch = (front) => Math.max(lastCoreStart, trouble && front === restarted.name ? restarted.startedAt : -Infinity) + bounds["stable-window-ms"];
  const late = leaving.arrivals.filter(({ id, at }) => at > leftAt + bounds["drain-ms"] && at > inTouch(frontOf.get(id)));
  const lost = late.filter(({ method, id }) => method === "POST" && results.find((result) => result.id === id)?.status !== 200);
  for (const { id, at } of late) record.line(`late at ${leaving.name}: ${id} by ${frontOf.get(id)}, ${(at - leftAt).toFixed(0)} ms after the acknowledgement`);
  record.line(`${late.length} requests reached ${leaving.name} too late from machines in touch; ${lost.length} unsafe ones of them ended without the answer`);
  return late.length > 0;
});
