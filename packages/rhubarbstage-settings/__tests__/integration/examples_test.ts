import { readdir } from "node:fs/promises";
import { join } from "node:path";
import type { CustomerId, ServiceName, WorkKind } from "rhubarbstage";
import {
  hashKey,
  loadProcessSettings,
  loadTree,
  SettingsTree,
} from "../../src/mod.ts";

const examples = join(__dirname, "../../../../examples");

async function loadHosts(deployment: string) {
  const folder = join(examples, deployment, "hosts");
  const files = await readdir(folder);
  return await Promise.all(
    files.map((file) => loadProcessSettings(join(folder, file))),
  );
}

describe.each([
  { deployment: "padana", hosts: 8, replicas: 5 },
  { deployment: "pinakas", hosts: 7, replicas: 3 },
])("the example $deployment", ({ deployment, hosts, replicas }) => {
  // Guards against examples that do not start when operators copy them.
  test("has valid hosts that agree on the set of replicas", async () => {
    const all = await loadHosts(deployment);
    expect(all.length).toBe(hosts);
    expect(all.filter((host) => host.dataFolder !== undefined).length)
      .toBe(replicas);
    for (const host of all) {
      const known = host.peers.filter((peer) => peer.replica).length;
      expect(known + (host.dataFolder === undefined ? 0 : 1)).toBe(replicas);
      expect(host.peers.length).toBe(hosts - 1);
    }
  });

  // Guards against an example tree without the regions of its hosts.
  test("has a valid tree with the regions of its hosts", async () => {
    const tree = new SettingsTree(
      await loadTree(join(examples, deployment, "tree.yaml")),
    );
    const regions = (await loadHosts(deployment)).map((host) => host.region);
    expect(tree.regions()).toEqual([...new Set(regions)].sort());
  });
});

describe("priorities of the examples", () => {
  // Guards against chat requests that overtake fiscal records near a deadline.
  test("rank fiscal records of one practice above chat of a practice that bought priority", async () => {
    const tree = new SettingsTree(
      await loadTree(join(examples, "pinakas/tree.yaml")),
    );
    const [region] = tree.regions();
    if (region === undefined) throw new Error("The tree has no region");
    const customer = tree.customerOfKeyHash(
      hashKey("example-practice-athens-key"),
    );
    expect(customer).toBe("practice-athens");
    const priorityPractice = "practice-heraklion" as CustomerId;
    const chat = tree.resolveSettings({
      region,
      service: "chat" as ServiceName,
      customer: priorityPractice,
      kind: "default" as WorkKind,
    });
    const fiscal = tree.resolveSettings({
      region,
      service: "intake" as ServiceName,
      customer: customer as CustomerId,
      kind: "fiscal" as WorkKind,
    });
    expect(fiscal.priority).toBeGreaterThan(chat.priority);
  });
});
