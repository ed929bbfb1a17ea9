import type { BackendServerId } from "rhubarbstage";
import { FakeService } from "@rhubarbstage/test-support";
import { RepeatableClient } from "../../src/mod.ts";

describe("RepeatableClient", () => {
  const fake = new FakeService();
  const client = new RepeatableClient();
  const backendServer = "service-1" as BackendServerId;
  const request = {
    method: "GET",
    path: "/status?kiosk=7",
    headers: { host: "kiosk", connection: "x-hop", "x-hop": "1" },
    body: new Uint8Array(),
  };
  let address = "";

  beforeAll(async () => {
    address = await fake.listen();
  });

  afterAll(async () => {
    await client.close();
    await fake.close();
  });

  // Guards against a retry inside the client, which would bypass the policy's
  // retry budget, and against reporting a wrong outcome to the policy.
  test("makes one attempt and reports its outcome", async () => {
    const target = { backendServer, address };
    const answer = await client.call(target, request, { timeout: 1_000 });
    const chunks: Uint8Array[] = [];
    for await (const chunk of answer.body) chunks.push(chunk);
    expect(answer.status).toBe(200);
    expect(Buffer.concat(chunks).toString()).toContain('"execution":1');

    fake.switches.closeAfter = 1;
    const broken = client.call(target, request, { timeout: 1_000 });
    await expect(broken).rejects.toMatchObject({
      kind: "backend_failed",
      outcome: "may_have_run",
    });
    expect(fake.records.executions).toHaveLength(2);

    const nowhere = { backendServer, address: "http://127.0.0.1:1" };
    const unreachable = client.call(nowhere, request, { timeout: 1_000 });
    await expect(unreachable).rejects.toMatchObject({
      kind: "backend_unreachable",
      outcome: "not_run",
    });

    fake.switches.delayBefore = 1_500;
    const slow = client.call(target, request, { timeout: 100 });
    await expect(slow).rejects.toMatchObject({
      kind: "deadline_exceeded",
      outcome: "may_have_run",
    });
  });
});
