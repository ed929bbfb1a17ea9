import { mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EditRequest } from "@rhubarbstage/settings";
import { Timeline } from "@rhubarbstage/telemetry";
import {
  type HostId,
  HybridLogicalClock,
  type Incarnation,
  ManualClock,
  type RequestId,
} from "rhubarbstage";
import { exitCodes, runCommand } from "../../src/mod.ts";
import {
  type Answer,
  type Answers,
  errorAnswer,
  FakeOperatorHost,
} from "./fake_operator_host.ts";

const token = "0123456789abcdef-operator";
const tree = { priority: 1, regions: { crete: { priority: 2 } } };
const getTree = () => ({ status: 200, body: { revision: 7, tree } });

let folder = "";
let host: FakeOperatorHost | undefined;
beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "rhubarbstage-cli-"));
  await writeFile(join(folder, "token"), `anna:${token}\n`);
});
afterEach(async () => {
  await host?.stop();
  host = undefined;
  await rm(folder, { recursive: true });
});

async function run(args: readonly string[], isTTY = false) {
  let stdout = "";
  let stderr = "";
  const code = await runCommand(args, {
    stdout: { write: (text) => stdout += text, isTTY },
    stderr: { write: (text) => stderr += text },
    env: { RHUBARBSTAGE_STATE_FOLDER: join(folder, "state") },
  });
  expect(stdout + stderr).not.toContain(token);
  return { code, stdout, stderr };
}

async function startHost(answers: Answers): Promise<string[]> {
  host = new FakeOperatorHost({ "GET /operator/tree": getTree, ...answers });
  const url = await host.start();
  return ["--url", url, "--token-file", join(folder, "token")];
}

function listEdits(): EditRequest[] {
  return (host?.calls ?? []).filter(({ method }) => method === "POST")
    .map(({ body }) => body as EditRequest);
}

function acceptEdit(revision: number): (call: { body: unknown }) => Answer {
  return ({ body }) => {
    const { edit_id } = body as EditRequest;
    return { status: 200, body: { edit_id, revision, replayed: false } };
  };
}

const setPriority = ["tree", "apply", "--set", "regions/crete/priority=5"];

describe("tree apply", () => {
  // Guards against an edit without the revision it is based on, and against
  // requests without the operator's token.
  test("sends one edit against the revision in force", async () => {
    const target = await startHost({
      "POST /operator/tree/edits": acceptEdit(8),
    });
    const { code, stdout } = await run([...setPriority, ...target]);
    expect(code).toBe(exitCodes.ok);
    expect(stdout).toMatch(/-\s+priority: 2\n\+\s+priority: 5\n/);
    expect(stdout).toContain("revision 8\n");
    expect(listEdits()).toEqual([{
      edit_id: expect.any(String),
      expected_revision: 7,
      operations: [{ path: "regions/crete/priority", set: 5 }],
    }]);
    expect(
      host?.calls.every((call) => call.authorization === `Bearer ${token}`),
    ).toBe(true);
    expect(await readdir(join(folder, "state"))).toEqual([]);
  });

  // Guards against a resend with a new id that takes effect twice.
  test("resends a request without an answer under the same edit id", async () => {
    let sends = 0;
    const answer = acceptEdit(8);
    const target = await startHost({
      "POST /operator/tree/edits": (call) => {
        sends += 1;
        return sends === 1 ? "lost" : answer(call);
      },
    });
    const { code } = await run([...setPriority, ...target]);
    expect(code).toBe(exitCodes.ok);
    expect(listEdits().length).toBe(2);
    expect(listEdits()[0]).toEqual(listEdits()[1]);
  });

  // Guards against a later resend that differs because the tree changed.
  test("stores an edit of unknown outcome and resends it unchanged", async () => {
    let isReachable = false;
    let revision = 7;
    const answer = acceptEdit(8);
    const target = await startHost({
      "GET /operator/tree": () => ({ status: 200, body: { revision, tree } }),
      "POST /operator/tree/edits": (call) =>
        isReachable
          ? answer(call)
          : errorAnswer(503, "no_quorum", "may_have_run"),
    });
    const first = await run([
      ...setPriority,
      "--edit-id",
      "summer-1",
      ...target,
    ]);
    expect(first.code).toBe(exitCodes.noAnswer);
    expect(first.stderr).toContain("--edit-id summer-1");
    isReachable = true;
    revision = 9;
    const again = await run([
      ...setPriority,
      "--edit-id",
      "summer-1",
      ...target,
    ]);
    expect(again.code).toBe(exitCodes.ok);
    expect(new Set(listEdits().map((edit) => JSON.stringify(edit))).size)
      .toBe(1);
    expect(await readdir(join(folder, "state"))).toEqual([]);
  });

  // Guards against conflicts resent or reported as success.
  test("reports a conflict with an exit code of its own", async () => {
    const target = await startHost({
      "POST /operator/tree/edits": () => errorAnswer(409, "revision_conflict"),
    });
    const { code } = await run([...setPriority, ...target]);
    expect(code).toBe(exitCodes.conflict);
    expect(listEdits().length).toBe(1);
    expect(await readdir(join(folder, "state"))).toEqual([]);
  });

  // Guards against reporting an unknown outcome for an edit that was not run.
  test("reports a refusal for lack of a quorum as not run", async () => {
    const target = await startHost({
      "POST /operator/tree/edits": () => errorAnswer(503, "no_quorum"),
    });
    const { code } = await run([...setPriority, ...target]);
    expect(code).toBe(exitCodes.refused);
    expect(await readdir(join(folder, "state"))).toEqual([]);
  });

  // Guards against sending an invalid edit, and against a dry run that edits.
  test("validates edits before sending them and sends none on a dry run", async () => {
    const target = await startHost({});
    const wrong = await run([
      "tree",
      "apply",
      "--set",
      "prioritty=5",
      ...target,
    ]);
    expect(wrong.code).toBe(exitCodes.invalid);
    expect(wrong.stderr).toContain('did you mean "priority"?');
    const dryRun = await run([...setPriority, "--dry-run", ...target]);
    expect(dryRun.code).toBe(exitCodes.ok);
    const file = join(folder, "tree.yaml");
    await writeFile(file, JSON.stringify(tree));
    const unchanged = await run(["tree", "apply", file, "--json", ...target]);
    expect(JSON.parse(unchanged.stdout)).toEqual({ changed: false });
    expect(listEdits()).toEqual([]);
  });
});

describe("bootstrap", () => {
  // Guards against a system formed without one of its replicas, and against a
  // request without the token that the settings name.
  test("sends all replica hosts of the settings file", async () => {
    host = new FakeOperatorHost({
      "POST /operator/bootstrap": () => ({
        status: 200,
        body: {
          cluster: "pinakas",
          revision: 1,
          seats: [{ host: "attica-1", replica: "r1" }],
          replayed: false,
        },
      }),
    });
    const { port } = new URL(await host.start());
    const peerFields =
      "address: 10.0.0.1, port: 1, region: r, availability_zone: z";
    const settings = join(folder, "host.yaml");
    await writeFile(
      settings,
      `
host: attica-1
cluster: pinakas
region: attica
availability_zone: attica-a
http: {listen: "127.0.0.1:${port}"}
peer: {listen: "127.0.0.1:7400"}
data_folder: data
peers:
  - {host: crete-1, ${peerFields}, replica: true}
  - {host: crete-2, ${peerFields}}
token_files: {peer: token, operators: token, backend_servers: token}
`,
    );
    const file = join(folder, "tree.yaml");
    await writeFile(file, "priority: 1\n");
    const { code, stdout } = await run(
      ["bootstrap", "--settings", settings, "--tree", file],
    );
    expect(code).toBe(exitCodes.ok);
    expect(stdout).toContain("pinakas formed at revision 1\n");
    const [call] = host.calls;
    expect(call?.authorization).toBe(`Bearer ${token}`);
    expect(call?.body).toMatchObject({
      hosts: ["attica-1", "crete-1"],
      tree: { priority: 1 },
    });
  });
});

describe("operator commands", () => {
  // Guards against exit codes that do not identify the reason of a failure.
  test.each([
    { status: 401, kind: "unauthenticated", code: exitCodes.unauthenticated },
    { status: 400, kind: "invalid_request", code: exitCodes.invalid },
    { status: 409, kind: "order_conflict", code: exitCodes.refused },
    { status: 500, kind: "internal", code: exitCodes.internal },
  ])("map $kind to exit code $code", async ({ status, kind, code }) => {
    const target = await startHost({
      "POST /operator/drains": () => errorAnswer(status, kind),
    });
    const result = await run(["drain", "engine-1", ...target]);
    expect(result.code).toBe(code);
    expect(result.stderr).toContain(kind);
  });

  // Guards against a resent repair that removes the seat of the repaired host,
  // and against a repair of a host that never had a seat.
  test("repair sends the id of the lost replica", async () => {
    const seat = (host: string, replica: string) => ({
      host,
      replica,
      voter: true,
    });
    const seats = [seat("crete-1", "old"), seat("attica-1", "other")];
    const target = await startHost({
      "GET /operator/status": () => ({
        status: 200,
        body: { groups: [{ seats }, { seats }] },
      }),
      "POST /operator/repairs": () => ({ status: 200, body: { groups: [] } }),
    });
    const { code } = await run(["repair", "--lost", "crete-1", ...target]);
    expect(code).toBe(exitCodes.ok);
    expect(host?.calls.at(-1)?.body).toEqual({
      edit_id: expect.any(String),
      lost: "crete-1",
      replica: "old",
      replacement: "crete-1",
    });
    const unknown = await run(["repair", "--lost", "crete-9", ...target]);
    expect(unknown.code).toBe(exitCodes.usage);
  });

  // Guards against output on a pipe that programs cannot parse.
  test("print tables and colours on a terminal only", async () => {
    const target = await startHost({
      "GET /operator/backends": () => ({
        status: 200,
        body: {
          backends: [{
            server: "engine-1",
            state: "ready",
            region: "crete",
            models: ["pinax-chat"],
            services: [],
            role: "mixed",
            running_requests: 1,
            evidence_age_ms: 3,
          }],
        },
      }),
    });
    const plain = await run(["backends", ...target]);
    expect(plain.stdout).toContain(
      "engine-1\tready\tcrete\tpinax-chat\tmixed\t1\t3 ms ago\t-\n",
    );
    const terminal = await run(["backends", ...target], true);
    expect(terminal.stdout).toContain("┌");
    expect(terminal.stdout).toContain("\u001b[32mready");
    const json = await run(["backends", "--json", ...target], true);
    expect(JSON.parse(json.stdout).backends[0].server).toBe("engine-1");
  });

  // Guards against an unreachable host that hides the events of the others.
  test("merge the timelines of files and running hosts", async () => {
    const file = join(folder, "timeline.jsonl");
    const recorder = new Timeline({
      host: "crete-1" as HostId,
      incarnation: 1 as Incarnation,
      clock: new HybridLogicalClock(new ManualClock(1_000)),
      file,
    });
    const request = "r1" as RequestId;
    recorder.record("request_arrived", { request });
    recorder.record("other");
    await recorder.flush();
    const live = {
      at: { wall: 1_000, counter: 5 },
      host: "crete-2",
      incarnation: 1,
      sequence: 1,
      event: "request_finished",
      request,
      fields: { tokens: 3 },
    };
    const target = await startHost({
      "GET /operator/timeline": () => ({
        status: 200,
        body: { events: [live], missing_hosts: ["crete-3"] },
      }),
    });
    const { stdout, stderr } = await run(
      ["timeline", "--request", "r1", "--file", file, ...target],
    );
    expect(stdout).toBe(
      "1970-01-01T00:00:01.000Z+0 event=request_arrived host=crete-1 request=r1\n" +
        "1970-01-01T00:00:01.000Z+5 event=request_finished host=crete-2 request=r1 tokens=3\n",
    );
    expect(stderr).toContain("crete-3");
    expect(host?.calls.at(-1)?.url).toContain("request=r1");
    const [, url = ""] = target;
    const stopped = new FakeOperatorHost({});
    const unreachableUrl = await stopped.start();
    await stopped.stop();
    const partial = await run(["timeline", ...target, "--url", unreachableUrl]);
    expect(partial.code).toBe(exitCodes.ok);
    expect(partial.stdout).toContain("request_finished");
    expect(partial.stderr).toContain(unreachableUrl);
    expect(host?.calls.at(-1)?.url).toContain("scope=host");
    expect(partial.stderr).not.toContain(url);
  });

  // Guards against invalid command lines that are silently accepted.
  test("reject malformed, missing and surplus arguments and missing files", async () => {
    for (
      const args of [
        ["tree", "history", "--limit", "many"],
        ["timeline", "--from", "yesterday"],
        ["tree", "get", "--effective", "crete"],
        ["drain", "a", "b"],
        ["check"],
        ["repair"],
        ["timeline", "--file", join(folder, "missing")],
      ]
    ) {
      expect((await run(args)).code).toBe(exitCodes.usage);
    }
  });
});

describe("check", () => {
  // Guards against an invalid file that passes the check and is rolled out.
  test("lists the problems of all files", async () => {
    const good = join(folder, "good.yaml");
    const bad = join(folder, "bad.yaml");
    await writeFile(good, "priority: 1\n");
    await writeFile(bad, "share: 1\nprioritty: 1\n");
    const { code, stdout } = await run([
      "check",
      "--tree",
      good,
      "--tree",
      bad,
    ]);
    expect(code).toBe(exitCodes.invalid);
    expect(stdout).toContain(`${good}: valid\n`);
    expect(stdout).toContain(`${bad}:2: prioritty has the value 1; allowed: `);
  });
});

describe("--help", () => {
  // Guards against a command without a usage example.
  test.each([
    "serve",
    "check",
    "bootstrap",
    "repair",
    "tree get",
    "tree diff",
    "tree apply",
    "tree history",
    "status",
    "backends",
    "drain",
    "undrain",
    "order end",
    "timeline",
    "version",
  ])("%s shows an example", async (command) => {
    const log = jest.spyOn(console, "log").mockImplementation(() => {});
    const { code } = await run([...command.split(" "), "--help"]);
    const text = log.mock.calls.join("\n");
    log.mockRestore();
    expect(code).toBe(exitCodes.ok);
    expect(text).toMatch(new RegExp(`Examples\\s+\\$ rhubarbstage ${command}`));
  });
});
