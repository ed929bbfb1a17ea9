// Resumable streams: two of eight servers crash while another fails requests.
import { writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { sleep, System } from "../lib/system.mjs";
import { answerBytes, RawServer } from "../lib/server.mjs";

const trouble = process.env.TROUBLE !== "0";
const record = [];
const startedAt = Date.now();
const note = (text) => record.push(`${((Date.now() - startedAt) / 1000).toFixed(3)} ${text}`);

const failShare = 0.45; // of the requests of one server of eight
const failFrom = 6_000; // after the clients have begun
const failMs = 6_500;
// Two servers of eight crash, three times, for crashMs each time.
const crashes = [[6_500, [0, 1]], [9_000, [2, 3]], [11_500, [4, 5]]];
const crashMs = 2_000;
const slots = 64;
const playMs = 14_000;
const clients = 260;
const outTokens = 160;
const pieces = outTokens / 8;
const pieceMs = 60;

let seed = 50_021;
const random = () => {
  seed = (seed * 1_103_515_245 + 12_345) % 2_147_483_648;
  return seed / 2_147_483_648;
};

let playStartedAt = Infinity;
const isFailing = () => {
  const at = Date.now() - playStartedAt;
  return trouble && at >= failFrom && at < failFrom + failMs;
};
const counts = { begun: 0, resumed: 0, failed: 0, failedResumes: 0, cut: 0 };

async function startServer(name, { fails = false, port = 0 } = {}) {
  let running = 0;
  const server = await RawServer.listen("127.0.3.1", async ({ id, path, headers, socket, connection }) => {
    const common = { "X-Rhubarbstage-Request-Id": id ?? "", "X-Rhubarbstage-Server-Load": `${running},0,${slots}` };
    if (headers["x-rhubarbstage-expect-instance"] !== name) {
      socket.write(answerBytes(421, { "X-Rhubarbstage-Instance-Id": name, ...common }));
      return;
    }
    if (path === "/health") return void socket.write(answerBytes(200, { "X-Rhubarbstage-Instance-Id": name, ...common }));
    if (path === "/report") {
      const body = JSON.stringify({
        stage: "decode", models: [{ name: "m", version: 1, adapters: [] }], busy: false, sequence: 0, queued: 0, running,
        "kv-used": 0, "kv-total": 400000, "kv-handles": 0,
      });
      return void socket.write(answerBytes(200, { "Content-Type": "application/json" }, body));
    }
    if (headers["x-rhubarbstage-stage"] === "prefill") return void socket.write(answerBytes(421, common));
    if (running >= slots) return void socket.write(answerBytes(503, { ...common, "X-Rhubarbstage-Not-Run": "1" }));
    const after = Number(headers["last-event-id"] ?? 0);
    const stamp = `${name}.${id}`;
    if (fails && isFailing() && random() < failShare) {
      counts.failed += 1;
      if (after > 0) {
        counts.failedResumes += 1;
        note(`${name} answers 500 to ${id}, which goes on after event ${after}`);
      }
      await sleep(20);
      socket.write(answerBytes(500, { ...common, "X-Rhubarbstage-Response-Stamp": stamp }, `server error ${stamp}`));
      return;
    }
    running += 1;
    try {
      if (after > 0) {
        counts.resumed += 1;
        note(`${name} goes on with ${id} after event ${after}`);
      } else {
        counts.begun += 1;
        note(`${name} runs ${id}`);
      }
      await sleep(40);
      if (connection.closed) return;
      const head = [
        "HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
        ...Object.entries(common).map(([key, value]) => `${key}: ${value}`),
        `X-Rhubarbstage-Response-Stamp: ${stamp}`, "X-Rhubarbstage-Weight-Versions: 1",
      ].join("\r\n");
      socket.write(`${head}\r\n\r\n`);
      for (let event = after + 1; event <= pieces && !connection.closed; event += 1) {
        await sleep(pieceMs);
        const text = `id: ${event}\ndata: piece ${event} of ${pieces}\n\n`;
        socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
      }
      if (connection.closed) counts.cut += 1;
      else socket.write("0\r\n\r\n");
    } finally {
      running -= 1;
    }
  }, port);
  server.name = name;
  return server;
}

function configuration() {
  return {
    version: 3,
    routes: [{
      name: "brief", host: "kiosk.example", "path-prefix": "/brief/", kind: "streaming", "timeout-ms": 6000,
      "target-latency-ms": 800, priority: 1, service: "llm", "max-attempts": 2, sticky: true, resumable: true, "target-gap-ms": 300,
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
  let broken = 0;
  let next = 0;
  const outcomes = new Map();
  playStartedAt = Date.now();
  const endAt = playStartedAt + playMs;
  const ask = (id, host) => new Promise((resolve) => {
    const body = `question ${id}`;
    const sent = httpRequest({
      agent: false, host, port: system.frontPort, method: "POST", path: "/brief/ask",
      headers: {
        host: "kiosk.example", "content-length": body.length, "X-Rhubarbstage-Request-Id": id, "X-Rhubarbstage-Model": "m",
        "X-Rhubarbstage-Token-Counts": `200,${outTokens}`, "X-Rhubarbstage-Prompt-Prefix": `aa${id.slice(1)}:200`,
        "X-Rhubarbstage-Deadline-Ms": "6000",
      },
    }, (response) => {
      let text = "";
      response.on("data", (chunk) => text += chunk);
      const done = () => resolve({ status: response.statusCode, headers: response.headers, complete: response.complete, text });
      response.on("end", done);
      response.on("error", done);
    });
    sent.setTimeout(8_000, () => sent.destroy());
    sent.on("error", (error) => resolve({ status: 0, complete: false, text: "", error }));
    sent.end(body);
  });
  const client = async (number) => {
    await sleep(number * 6);
    while (Date.now() < endAt) {
      next += 1;
      const id = `c${next.toString(16).padStart(8, "0")}`;
      note(`${id} is sent`);
      const { status, headers, complete, text } = await ask(id, system.frontIps[next % system.frontIps.length]);
      const ids = [...text.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event));
      const inOrder = ids.every((event, index) => event === index + 1);
      const isWhole = inOrder && ids.length === pieces;
      const kind = `${status}${complete ? "" : " broken off"}${status === 200 && complete && !isWhole ? " not whole" : ""}`;
      note(`${id} is answered ${kind}, ${ids.length} pieces`);
      outcomes.set(kind, (outcomes.get(kind) ?? 0) + 1);
      if (status === 200 && complete && !isWhole) {
        broken += 1;
        note(`ORDER broken: ${id} is answered 200 and ends as complete with ${ids.length} of ${pieces} pieces; its last bytes: ${JSON.stringify(text.slice(-70))}`);
      }
      if (status === 503) await sleep(Math.min(2_000, Number(headers?.["retry-after"] ?? 0.2) * 1_000));
    }
  };
  await Promise.all(Array.from({ length: clients }, (_, number) => client(number)));
  note(`answers to clients: ${JSON.stringify([...outcomes])}; servers: ${JSON.stringify(counts)}`);
  return broken;
}

let code = 2;
let system;
const servers = [];
const stops = [];
const timers = [];
try {
  system = await System.start({ cores: 3, fronts: 4, tolerate: 1 });
  const announce = (server) =>
    system.announce(server.name, {
      service: "llm", address: server.address, zone: "zone-a", version: "v1", slots, state: "ready", "cold-left-ms": 0,
      stage: "decode", models: [{ name: "m", version: 1, adapters: [] }],
    });
  for (const number of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const server = await startServer(`i-d${number}`, { fails: number === 8 });
    servers.push(server);
    stops.push(announce(server));
  }
  await system.publish(configuration());
  await system.waitReady();
  await sleep(5_000);
  if (trouble) {
    for (const [at, indexes] of crashes) for (const index of indexes) timers.push(setTimeout(async () => {
      const server = servers[index];
      stops[index]();
      note(`${server.name} crashes with ${server.sockets.size} open connections`);
      await server.close();
      await sleep(crashMs);
      const again = await startServer(`${server.name}b`, { port: Number(server.address.split(":")[1]) });
      servers.push(again);
      stops.push(announce(again));
    }, at));
  }
  code = await play(system) > 0 ? 1 : 0;
  note(`exit code ${code}`);
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  for (const timer of timers) clearTimeout(timer);
  for (const stop of stops) stop();
  await system?.stop();
  for (const server of servers) await server.close().catch(() => {});
  writeFileSync(new URL("./record.txt", import.meta.url), `${record.join("\n")}\n`);
}
process.exit(code);
