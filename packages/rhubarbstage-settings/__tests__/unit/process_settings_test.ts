import { parseProcessSettings, SettingsError } from "../../src/mod.ts";

const minimal = `
host: attica-1
cluster: pinakas
region: attica
availability_zone: attica-a
http:
  listen: 127.0.0.1:8080
peer:
  listen: 0.0.0.0:7400
  advertise: "[::1]:7400"
peers:
  - {host: attica-1, address: 10.0.0.1, port: 7400, region: attica, availability_zone: attica-a}
  - {host: crete-1, address: 10.0.0.2, port: 7400, region: crete, availability_zone: crete-a, replica: true}
token_files:
  peer: peer.tokens
  operators: /etc/operators.tokens
  backend_servers: backends.tokens
`;

function problemsOf(content: string) {
  try {
    parseProcessSettings(content, { file: "host.yaml" });
  } catch (error) {
    if (error instanceof SettingsError) return error.problems;
    throw error;
  }
  return [];
}

describe("parseProcessSettings", () => {
  // Guards against dependence on the working directory and a host that connects
  // to itself.
  test("fills defaults, resolves paths and leaves out the host itself", () => {
    const settings = parseProcessSettings(minimal, {
      file: "/etc/rhubarbstage/host.yaml",
    });
    expect(settings.peer.advertise).toEqual({ address: "::1", port: 7400 });
    expect(settings.http.advertise).toEqual({
      address: "127.0.0.1",
      port: 8080,
    });
    expect(settings.dataFolder).toBeUndefined();
    expect(settings.peers.map((peer) => peer.host)).toEqual(["crete-1"]);
    expect(settings.tokenFiles.peer).toBe("/etc/rhubarbstage/peer.tokens");
    expect(settings.shutdownNotice).toBe(5_000);
    expect(settings.journalGroups).toBe(4);
  });

  // Guards against a misspelt key that is silently ignored.
  test("reports an unknown key with its file, line, path, value, allowed keys and nearest key", () => {
    const [problem, ...others] = problemsOf(
      `${minimal}journal_group: 8\n`,
    );
    expect(others).toEqual([]);
    expect(problem).toMatchObject({
      file: "host.yaml",
      line: 18,
      path: "journal_group",
      value: "8",
      nearest: "journal_groups",
    });
    expect(problem?.allowed).toContain("shutdown_notice_ms");
  });

  // Guards against reporting only the first fault of a file.
  test("reports all faults of a file, each with its line", () => {
    const content = minimal
      .replace("127.0.0.1:8080", "localhost:8080")
      .replace("cluster: pinakas", "cluster: 7");
    expect(problemsOf(content).map(({ line, path }) => [line, path])).toEqual([
      [3, "cluster"],
      [7, "http/listen"],
    ]);
  });

  // Guards against hosts that announce an unreachable address.
  test("refuses to advertise the unspecified address", () => {
    const content = minimal.replace("127.0.0.1:8080", "0.0.0.0:8080");
    expect(problemsOf(content).map(({ path }) => path)).toEqual([
      "http/advertise",
    ]);
  });

  // Guards against a replica that other hosts do not list as one.
  test("refuses a data folder that contradicts the host's peer entry", () => {
    const content = `${minimal}data_folder: /var/lib/rhubarbstage\n`;
    expect(problemsOf(content)[0]).toMatchObject({
      path: "peers/0/replica",
      value: "false",
    });
  });

  // Guards against a host that can never confirm its configuration.
  test("refuses settings without a replica", () => {
    const content = minimal.replace(", replica: true", "");
    expect(problemsOf(content)[0]).toMatchObject({
      path: "peers",
      value: '["attica-1","crete-1"]',
    });
  });

  // Guards against a stack trace instead of a line number for broken YAML.
  test("reports broken syntax and missing keys", () => {
    expect(problemsOf("host: [a\n")[0]?.line).toBe(2);
    expect(problemsOf("").length).toBe(1);
    expect(problemsOf("host: a\n").map(({ path }) => path)).toContain(
      "cluster",
    );
  });
});
