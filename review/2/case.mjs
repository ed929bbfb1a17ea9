// Prefill and decode servers; the prefill servers repeat a few answers late.
import { writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { sleep, System } from "../lib/system.mjs";
import { answerBytes, RawServer } from "../lib/server.mjs";

const trouble = process.env.TROUBLE !== "0";
const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);

const garbleShare = 0.03; // of the answers of four servers of eight
const garbleFrom = 6_000; // after the clients have begun
const garbleMs = 5_000;
const slots = 4;
const queueLimit = 2;
const prefillTokensPerMs = 37.9;
const handleLifetime = 5_000;
const playMs = 16_000;
const clients = 60;

let seed = 77_003;
const random = () => {
  seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
  return seed / 2_147_483_648;
};

const counts = { prefills: 0, decodes: 0, direct: 0, shed: 0, gone: 0, garbled: 0, foreign: 0 };
let playStartedAt = Infinity;
const isGarbling = () => {
  const at = Date.now() - playStartedAt;
  return trouble && at >= garbleFrom && at < garbleFrom + garbleMs;
};
// Handles by "address/handle": the request whose memory it is.
const handles = new Map();
const foreign = [];

function commonHeaders(id, load) {
  return { "X-Rhubarbstage-Request-Id": id ?? "", "X-Rhubarbstage-Server-Load": load };
}

async function startPrefill(name, garbles) {
  let chain = Promise.resolve();
  let open = 0;
  const late = new WeakMap();
  let address = "";
  const server = await RawServer.listen("127.0.3.1", async ({ id, method, path, headers, socket, connection }) => {
    const common = commonHeaders(id, `${open},0,${slots}`);
    if (headers["x-rhubarbstage-expect-instance"] !== name) {
      socket.write(answerBytes(421, { "X-Rhubarbstage-Instance-Id": name, ...common }));
      return;
    }
    if (path === "/health") return void socket.write(answerBytes(200, { "X-Rhubarbstage-Instance-Id": name, ...common }));
    if (path === "/report") return void socket.write(answerBytes(200, { "Content-Type": "application/json" }, report("prefill", open)));
    if (method === "DELETE") {
      handles.delete(`${address}/${path.split("/").at(-1)}`);
      return void socket.write(answerBytes(200, common));
    }
    if (headers["x-rhubarbstage-stage"] !== "prefill") {
      socket.write(answerBytes(421, common));
      return;
    }
    const second = late.get(connection);
    if (second !== undefined) {
      late.delete(connection);
      counts.garbled += 1;
      note(`${name} connection ${connection.number}: the second answer to ${second.id} (handle ${second.handle}) is sent; ${id} is expected next`);
      socket.write(second.bytes);
    }
    open += 1;
    const tokens = Number(headers["x-rhubarbstage-token-counts"].split(",")[0]);
    const mine = chain.then(() => sleep(tokens / prefillTokensPerMs));
    chain = mine;
    await mine;
    open -= 1;
    counts.prefills += 1;
    const handle = `${name.at(-1)}h${counts.prefills.toString(16).padStart(6, "0")}`;
    const key = `${address}/${handle}`;
    handles.set(key, id);
    setTimeout(() => handles.delete(key), handleLifetime);
    const body = JSON.stringify({ "kv-handle": handle, tokens, version: 1 });
    const bytes = answerBytes(200, { ...common, "Content-Type": "application/json" }, body);
    note(`${name} connection ${connection.number}: prompt of ${id} read, handle ${handle}`);
    socket.write(bytes);
    if (garbles && isGarbling() && random() < garbleShare) late.set(connection, { id, handle, bytes });
  });
  address = server.address;
  server.name = name;
  return server;
}

function report(stage, running) {
  return JSON.stringify({
    stage, models: [{ name: "m", version: 1, adapters: [] }], busy: false, sequence: 0, queued: 0, running,
    "kv-used": 0, "kv-total": 400000, "kv-handles": 0,
  });
}

async function startDecode(name) {
  let running = 0;
  const waiting = [];
  const leave = () => {
    const next = waiting.shift();
    if (next === undefined) running -= 1;
    else next();
  };
  const server = await RawServer.listen("127.0.3.1", async ({ id, method, path, headers, socket, connection }) => {
    const common = commonHeaders(id, `${running},${waiting.length},${slots}`);
    if (headers["x-rhubarbstage-expect-instance"] !== name) {
      socket.write(answerBytes(421, { "X-Rhubarbstage-Instance-Id": name, ...common }));
      return;
    }
    if (path === "/health") return void socket.write(answerBytes(200, { "X-Rhubarbstage-Instance-Id": name, ...common }));
    if (path === "/report") return void socket.write(answerBytes(200, { "Content-Type": "application/json" }, report("decode", running)));
    if (method === "DELETE") return void socket.write(answerBytes(200, common));
    if (headers["x-rhubarbstage-stage"] === "prefill") return void socket.write(answerBytes(421, common));
    const refuse = (why) => {
      note(`${name}: ${id} is not run (${why})`);
      socket.write(answerBytes(503, { ...common, "X-Rhubarbstage-Not-Run": "1" }));
    };
    if (running >= slots && waiting.length >= queueLimit) {
      counts.shed += 1;
      return refuse("full");
    }
    if (running >= slots) await new Promise((resolve) => waiting.push(resolve));
    else running += 1;
    try {
      if (connection.closed) return;
      const source = headers["x-rhubarbstage-kv-source"];
      let owner = id;
      if (source === undefined) {
        counts.direct += 1;
        const tokens = Number(headers["x-rhubarbstage-token-counts"].split(",")[0]);
        await sleep(2 * tokens / prefillTokensPerMs);
      } else {
        owner = handles.get(source);
        handles.delete(source);
        if (owner === undefined) {
          counts.gone += 1;
          return refuse(`handle ${source} can't be had`);
        }
        counts.decodes += 1;
        note(`${name}: runs ${id} from handle ${source}`);
        if (owner !== id) {
          counts.foreign += 1;
          foreign.push(id);
          note(`MIXED broken: ${name} runs ${id} from handle ${source}, which is of ${owner}`);
        }
        await sleep(15);
      }
      const head = [
        "HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
        ...Object.entries(common).map(([key, value]) => `${key}: ${value}`),
        `X-Rhubarbstage-Response-Stamp: ${name}.${id}`, "X-Rhubarbstage-Weight-Versions: 1",
      ].join("\r\n");
      socket.write(`${head}\r\n\r\n`);
      const total = Math.ceil(Number(headers["x-rhubarbstage-token-counts"].split(",")[1]) / 8);
      for (let event = 1; event <= total && !connection.closed; event += 1) {
        await sleep(40);
        const text = `id: ${event}\ndata: answer to the prompt of ${owner}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      }
      socket.write("0\r\n\r\n");
    } finally {
      leave();
    }
  });
  server.name = name;
  return server;
}

function configuration() {
  return {
    version: 3,
    routes: [{
      name: "chat", host: "kiosk.example", "path-prefix": "/chat/", kind: "streaming", "timeout-ms": 8000,
      "target-latency-ms": 600, priority: 0, service: "llm", "max-attempts": 1, sticky: true, resumable: false, "target-gap-ms": 300,
    }],
    services: [{
      name: "llm", "health-path": "/health", "max-conns": 370, protocol: "h1", tls: false,
      engine: {
        slots, "kv-capacity-tokens": 400000, "kv-token-bytes": 18432, "link-mbps": 370000, moves: true, backups: true, stride: 8,
        most: 12, "handle-ttl-s": 5, "stage-switch-s": 3, "pin-ms": 4000, "hold-ms": 2000, models: [{ name: "m" }],
      },
    }],
    limits: { "max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000 },
  };
}

async function play(system) {
  const statuses = new Map();
  let next = 0;
  playStartedAt = Date.now();
  const endAt = playStartedAt + playMs;
  const wrong = [];
  const ask = (id, host) => new Promise((resolve) => {
    const body = `question ${id}`;
    const sent = httpRequest({
      agent: false, host, port: system.frontPort, method: "POST", path: "/chat/ask",
      headers: {
        host: "kiosk.example", "content-length": body.length, "X-Rhubarbstage-Request-Id": id, "X-Rhubarbstage-Model": "m",
        "X-Rhubarbstage-Token-Counts": "1460,80", "X-Rhubarbstage-Prompt-Prefix": `aa${id.slice(1)}:1460`,
        "X-Rhubarbstage-Deadline-Ms": "8000",
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      const done = () => {
        const others = [...new Set([...text.matchAll(/prompt of (\w+)/g)].map(([, owner]) => owner))].filter((owner) => owner !== id);
        if (others.length > 0) {
          wrong.push(id);
          note(`MIXED broken: the client of ${id} is answered ${response.statusCode} with the answer to the prompt of ${others.join()}`);
        }
        resolve({ status: response.statusCode, headers: response.headers });
      };
      response.on("end", done);
      response.on("error", done);
    });
    sent.setTimeout(10_000, () => sent.destroy());
    sent.on("error", () => resolve({ status: 0 }));
    sent.end(body);
  });
  const client = async () => {
    while (Date.now() < endAt && foreign.length < 20) {
      next += 1;
      const id = `c${next.toString(16).padStart(8, "0")}`;
      note(`${id} is sent`);
      const { status, headers } = await ask(id, system.frontIps[next % system.frontIps.length]);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      note(`${id} is answered ${status}`);
      if (status === 503) await sleep(Math.min(2_000, Number(headers?.["retry-after"] ?? 0.2) * 1_000));
    }
  };
  await Promise.all(Array.from({ length: clients }, client));
  note(`answers to clients: ${JSON.stringify([...statuses])}; servers: ${JSON.stringify(counts)}`);
  return foreign.length + wrong.length;
}

let code = 2;
let system;
const servers = [];
const stops = [];
try {
  system = await System.start({ cores: 3, fronts: 2, tolerate: 1, zones: [["zone-a", "region"], ["zone-b", "region-b"]] });
  for (const [name, stage] of [
    ["i-p1", "prefill"], ["i-p2", "prefill"], ["i-p3", "prefill"], ["i-p4", "prefill"],
    ["i-d1", "decode"], ["i-d2", "decode"], ["i-d3", "decode"], ["i-d4", "decode"],
  ]) {
    const server = stage === "prefill" ? await startPrefill(name, true) : await startDecode(name);
    servers.push(server);
    stops.push(system.announce(name, {
      service: "llm", address: server.address, zone: "zone-a", version: "v1", slots, state: "ready", "cold-left-ms": 0,
      stage, models: [{ name: "m", version: 1, adapters: [] }],
    }));
  }
  await system.publish(configuration());
  await system.waitReady();
  await sleep(5_000);
  code = await play(system) > 0 ? 1 : 0;
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
