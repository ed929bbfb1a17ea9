/**
 * Settings, tokens and tree of the quickstart.
 *
 * @module
 */

import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { hashKey } from "@rhubarbstage/settings";

/** API key of the quickstart's customer. */
export const apiKey = "quickstart-customer-key";

/** Token that authenticates the announcements of the fakes. */
export const backendToken = "quickstart-backend-token";

/** Token of the quickstart's operator. */
export const operatorToken = "quickstart-operator-token";
const peerToken = "quickstart-peer-token";

const regions = ["lombardia", "veneto", "emilia"] as const;

/** Ports and files of one host of the quickstart. */
export interface QuickstartHost {
  readonly name: string;
  readonly region: string;
  readonly httpPort: number;
  readonly peerPort: number;
  /** Settings file. */
  readonly file: string;
  /** Origin of its HTTP interface. */
  readonly url: string;
}

/** All files of the quickstart. */
export interface QuickstartFiles {
  readonly hosts: readonly QuickstartHost[];
  readonly treeFile: string;
}

const tree = `
deadline_ms: 30000
regions:
  "*":
    services:
      chat:
        type: model
        models: [small]
      kiosk:
        type: plain
        routes:
          - {method: POST, path: "/accounts/{account}/charges", repeatable: false, kind: charge}
          - {method: GET, path: "/accounts/{account}/balance", repeatable: true, kind: balance}
      "*":
        customers:
          kiosks:
            api_key_hashes: [${hashKey(apiKey)}]
  lombardia: {}
  veneto: {}
  emilia: {}
`;

function formatSettings(
  host: QuickstartHost,
  hosts: readonly QuickstartHost[],
): string {
  const peers = hosts.map(({ name, region, peerPort }) =>
    `  - {host: ${name}, address: 127.0.0.1, port: ${peerPort}, region: ${region}, availability_zone: ${region}-1, replica: true}`
  );
  return `
host: ${host.name}
cluster: quickstart
region: ${host.region}
availability_zone: ${host.region}-1
http:
  listen: 127.0.0.1:${host.httpPort}
peer:
  listen: 127.0.0.1:${host.peerPort}
data_folder: ${host.name}/data
peers:
${peers.join("\n")}
token_files:
  peer: peer.tokens
  operators: operators.tokens
  backend_servers: backend_servers.tokens
log:
  file: ${host.name}/host.log
timeline:
  file: ${host.name}/timeline.jsonl
shutdown_notice_ms: 200
journal_groups: 1
`;
}

/** Writes all files below a folder. Requires two ports per host. */
export async function writeQuickstartFiles(
  folder: string,
  ports: readonly number[],
): Promise<QuickstartFiles> {
  const hosts = regions.map((region, index) => ({
    name: `${region}-1`,
    region,
    httpPort: ports[index * 2] as number,
    peerPort: ports[index * 2 + 1] as number,
    file: join(folder, `${region}-1.yaml`),
    url: `http://127.0.0.1:${ports[index * 2]}`,
  }));
  const files = {
    "peer.tokens": peerToken,
    "operators.tokens": `quickstart:${operatorToken}`,
    "backend_servers.tokens": backendToken,
    "tree.yaml": tree,
  };
  for (const [name, content] of Object.entries(files)) {
    await writeFile(join(folder, name), `${content}\n`, { mode: 0o600 });
  }
  for (const host of hosts) {
    await mkdir(join(folder, host.name));
    await writeFile(host.file, formatSettings(host, hosts));
  }
  return { hosts, treeFile: join(folder, "tree.yaml") };
}

/** Number of ports that {@linkcode writeQuickstartFiles} requires. */
export const quickstartPortCount = regions.length * 2;
