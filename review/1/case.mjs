// Servers that shed when full; some repeat a few of their answers late.
import { writeFileSync } from "node:fs";
import { call, sleep, System } from "../lib/system.mjs";
import { answerBytes, RawServer } from "../lib/server.mjs";

const trouble = process.env.TROUBLE !== "0";
const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);

const garbleShare = 0.03; // of the answers of three servers of five
const garbleFrom = [5_000, 11_000]; // after the clients have begun
const garbleMs = 5_000;
const slots = 2;
const queueLimit = 2;
const workMs = 60;
const playMs = 18_000;
const clients = 48;

let seed = 20_261;
const random = () => {
  seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
  return seed / 2_147_483_648;
};

// Requests that a server began to work on, by id.
const runs = new Map();
let playStartedAt = Infinity;
const isGarbling = () => {
  const at = Date.now() - playStartedAt;
  return trouble && garbleFrom.some((from) => at >= from && at < from + garbleMs);
};
const counts = { answers: 0, shed: 0, garbled: 0 };

async function startServer(name, garbles) {
  let running = 0;
  const waiting = [];
  const enter = async () => {
    if (running < slots) {
      running += 1;
      return true;
    }
    if (waiting.length >= queueLimit) return false;
    await new Promise((resolve) => waiting.push(resolve));
    return true;
  };
  const leave = () => {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  };
  const late = new WeakMap(); // connection -> bytes of a second answer
  const server = await RawServer.listen("127.0.3.1", async ({ id, path, headers, socket, connection }) => {
    const common = {
      "X-Rhubarbstage-Request-Id": id ?? "",
      "X-Rhubarbstage-Server-Load": `${running},${waiting.length},${slots}`,
    };
    if (headers["x-rhubarbstage-expect-instance"] !== name) {
      socket.write(answerBytes(421, { "X-Rhubarbstage-Instance-Id": name, ...common }));
      return;
    }
    if (path === "/health") {
      socket.write(answerBytes(200, { "X-Rhubarbstage-Instance-Id": name, ...common }));
      return;
    }
    const second = late.get(connection);
    if (second !== undefined) {
      late.delete(connection);
      counts.garbled += 1;
      note(`${name} connection ${connection.number}: the second answer to ${second.id} (${second.status}) is sent; ${id} is expected next`);
      socket.write(second.bytes);
    }
    let status = 503;
    let extra = { "X-Rhubarbstage-Not-Run": "1" };
    let body = "";
    if (await enter()) {
      runs.set(id, (runs.get(id) ?? 0) + 1);
      note(`${name} connection ${connection.number}: runs ${id}`);
      await sleep(workMs);
      leave();
      status = 200;
      extra = { "X-Rhubarbstage-Response-Stamp": `${name}.${id}` };
      body = `charged ${id}`;
    } else {
      counts.shed += 1;
      note(`${name} connection ${connection.number}: does not run ${id}, it is full`);
    }
    const bytes = answerBytes(status, { ...common, ...extra }, body);
    counts.answers += 1;
    socket.write(bytes);
    if (garbles && isGarbling() && random() < garbleShare) late.set(connection, { id, status, bytes });
  });
  server.name = name;
  return server;
}

function configuration() {
  return {
    version: 3,
    routes: [{
      name: "topup", host: "kiosk.example", "path-prefix": "/topup/", kind: "unsafe",
      "timeout-ms": 3000, "target-latency-ms": 400, priority: 2, service: "store", "max-attempts": 1,
    }],
    services: [{ name: "store", "health-path": "/health", "max-conns": 110, protocol: "h1", tls: false }],
    limits: { "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000 },
  };
}

async function play(system) {
  const broken = [];
  const statuses = new Map();
  let next = 0;
  playStartedAt = Date.now();
  const endAt = playStartedAt + playMs;
  const client = async (number) => {
    while (Date.now() < endAt && broken.length < 20) {
      next += 1;
      const id = `c${next.toString(16).padStart(8, "0")}`;
      const body = `amount=5&kiosk=${number}&n=${next}`;
      note(`client ${number} sends ${id}`);
      const answer = await call({
        host: system.frontIps[next % system.frontIps.length], port: system.frontPort, method: "POST", path: "/topup/charge",
        headers: {
          host: "kiosk.example", "content-length": body.length,
          "X-Rhubarbstage-Request-Id": id, "X-Rhubarbstage-Deadline-Ms": "6000",
        },
      }, body);
      statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
      note(`client ${number}: ${id} is answered ${answer.status}`);
      if ([408, 421, 429, 503].includes(answer.status)) {
        // The server may still begin it.
        setTimeout(() => {
          if (!runs.has(id)) return;
          broken.push(id);
          note(`REFUSED broken: ${id} was answered ${answer.status} and has run`);
        }, 1_000);
        await sleep(Math.min(1_000, Number(answer.headers?.["retry-after"] ?? 0.2) * 1_000));
      }
    }
  };
  await Promise.all(Array.from({ length: clients }, (_, number) => client(number)));
  await sleep(1_500);
  const twice = [...runs].filter(([, count]) => count > 1).map(([id]) => id);
  for (const id of twice) note(`TWICE broken: ${id} ran more than once`);
  note(`answers to clients: ${JSON.stringify([...statuses])}; servers: ${JSON.stringify(counts)}`);
  return broken.length + twice.length;
}

let code = 2;
let system;
const servers = [];
const stops = [];
try {
  system = await System.start({ cores: 3, fronts: 2, tolerate: 1 });
  for (const number of [1, 2, 3, 4, 5]) {
    const server = await startServer(`i-store-${number}`, number <= 3);
    servers.push(server);
    stops.push(system.announce(server.name, {
      service: "store", address: server.address, zone: "zone-a", version: "v1", slots, state: "ready", "cold-left-ms": 0,
    }));
  }
  await system.publish(configuration());
  await system.waitReady();
  await sleep(4_000);
  const broken = await play(system);
  code = broken > 0 ? 1 : 0;
  note(`exit code ${code}`);
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  for (const stop of stops) stop();
  await system?.stop();
  for (const server of servers) await server.close();
  writeFileSync(new URL("./record.txt", import.meta.url), `${record.join("\n")}\n`);
}
process.exit(code);
