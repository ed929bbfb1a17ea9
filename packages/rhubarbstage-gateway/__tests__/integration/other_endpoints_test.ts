import { RhubarbstageError } from "rhubarbstage";
import {
  backendToken,
  EngineProcess,
  eventually,
  Harness,
  operatorToken,
} from "../harness.ts";

describe("services, backend servers and operators", () => {
  let harness: Harness;

  beforeAll(async () => {
    harness = await Harness.start();
    harness.addServer("ledger-1", "http://127.0.0.1:9");
  });

  afterAll(() => harness.close());

  // Guards against a lost path, body or header, and a forwarded API key.
  test("forwards a call to a plain service", async () => {
    const response = await harness.post("/services/ledger/top-up/7?a=b", "{}", {
      "idempotency-key": "k1",
      "x-kiosk": "4",
    });
    expect(response.status).toBe(201);
    expect(response.headers.get("x-server")).toBe("ledger-1");
    expect(await response.text()).toBe("done");
    const call = harness.services.calls.at(-1);
    expect(call).toMatchObject({
      method: "POST",
      path: "/top-up/7?a=b",
      repeatable: false,
      idempotencyKey: "k1",
      headers: { "x-kiosk": "4" },
    });
    expect(call?.headers).not.toHaveProperty("authorization");
    expect(Buffer.from(call?.body ?? []).toString()).toBe("{}");
  });

  async function errorOf(response: Response) {
    const { error } = await response.json() as { error: unknown };
    return error;
  }

  // Guards against non-repeatable calls that could run twice.
  test("refuses non-repeatable calls without key or quorum", async () => {
    const withoutKey = await harness.post("/services/ledger/top-up", "{}");
    expect(await errorOf(withoutKey)).toMatchObject({
      type: "idempotency_key_missing",
    });
    const { settings } = harness.settings;
    harness.settings.settings = { ...settings, isolated: true };
    const key = { "idempotency-key": "k2" };
    const isolated = await harness.post("/services/ledger/top-up", "{}", key);
    const read = await harness.post("/services/ledger/balance", "{}");
    harness.settings.settings = settings;
    expect(await errorOf(isolated)).toMatchObject({
      type: "no_quorum",
      outcome: "not_run",
    });
    expect(read.status).toBe(201);
    const unknown = await harness.post("/services/other", "{}");
    expect(await errorOf(unknown)).toMatchObject({ type: "unknown_service" });
  });

  // Guards against an outcome that does not reach the caller.
  test("reports the outcome of a failed call", async () => {
    const { send } = harness.services;
    harness.services.send = () =>
      Promise.reject(new RhubarbstageError("outcome_unknown"));
    const response = await harness.post("/services/ledger/top-up", "{}", {
      "idempotency-key": "k3",
    });
    harness.services.send = send;
    expect(response.headers.get("rhubarbstage-outcome")).toBe("may_have_run");
    expect(await errorOf(response)).toMatchObject({ type: "outcome_unknown" });
  });

  // Guards against announcements of engines that the gateway parses wrongly.
  test("processes announcements, cache events and departures", async () => {
    const engine = await EngineProcess.start({
      announceOrigins: [harness.url],
      announceToken: backendToken,
      announceInterval: 50,
      cacheEventDelay: 50,
    });
    const { announcements, changes } = harness.servers;
    await eventually(() => announcements.length > 1);
    harness.addServer(engine.id, engine.url);
    const generation = fetch(`${engine.url}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        model: "small",
        prompt: "Once",
        prefixes: ["block-1"],
      }),
    });
    await (await generation).text();
    await eventually(() => changes.length === 1);
    await fetch(`${engine.url}/test/leave`, { method: "POST" });
    await eventually(() => changes.length === 2);
    await engine.stop();
    expect(announcements[0]).toMatchObject({
      id: "engine-1",
      url: engine.url,
      sequence: 1,
      models: ["small"],
      fencing: "checked",
      load: { runningRequests: 0, cacheTokensTotal: 64_000 },
    });
    expect(changes[0]).toMatchObject({ stored: ["block-1"], evicted: [] });
  });

  // Guards against operator calls that lose their arguments.
  test("passes operator calls with their arguments", async () => {
    const call = async (path: string, options: RequestInit = {}) => {
      const response = await fetch(`${harness.url}/operator/${path}`, {
        ...options,
        headers: {
          authorization: `Bearer ${operatorToken}`,
          "content-type": "application/json",
        },
      });
      return await response.json();
    };
    const post = (path: string, body: unknown) =>
      call(path, { method: "POST", body: JSON.stringify(body) });
    const operations = [{ path: "share", set: 2 }];
    const edit = { edit_id: "e1", expected_revision: 7, operations };
    const drain = { edit_id: "e2", server: "engine-1", drained: true };
    expect(await call("tree")).toEqual({ revision: 7 });
    expect(await post("tree/edits", edit)).toEqual({
      ...edit,
      operator: "ada",
    });
    expect(await post("drains", drain)).toEqual({ ...drain, operator: "ada" });
    expect(await post("drains", { ...drain, drained: "yes" }))
      .toMatchObject({
        error: { type: "invalid_request", outcome: "not_run" },
      });
    expect(await call("timeline?request=r1&limit=5&scope=host"))
      .toEqual({ request: "r1", limit: 5, scope: "host" });
    expect(await call("timeline?limit=x"))
      .toMatchObject({ error: { type: "invalid_request" } });
  });

  // Guards against a load balancer that does not detect a shutdown.
  test("serves health, readiness and metrics", async () => {
    const status = async (path: string) =>
      (await fetch(`${harness.url}/${path}`)).status;
    expect(await status("readyz")).toBe(200);
    harness.readiness.reason = "shutting_down";
    expect(await status("readyz")).toBe(503);
    expect(await status("healthz")).toBe(200);
    const metrics = await fetch(`${harness.url}/metrics`);
    expect(await metrics.text()).toBe("up 1\n");
  });
});
