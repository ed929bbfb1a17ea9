/** Runs a replica in its own process, controlled over IPC by the parent. */
import process from "node:process";
import type { HostId } from "rhubarbstage";
import { PeerTransport } from "@rhubarbstage/transport";
import { Replica } from "../../src/mod.ts";
import { type Append, control, groups, type IdList } from "./id_list.ts";

/** Settings of the process; passed as JSON in the first argument. */
export interface ProcessSettings {
  readonly host: HostId;
  readonly dataFolder: string;
  readonly token: string;
  readonly ports: Readonly<Record<string, number>>;
}

export type ProcessCall =
  | { readonly kind: "bootstrap"; readonly hosts: readonly HostId[] }
  | { readonly kind: "propose"; readonly id: string }
  | { readonly kind: "ids" }
  | { readonly kind: "leadership" }
  | { readonly kind: "confirm" };

async function main(): Promise<void> {
  const settings = JSON.parse(process.argv[2] as string) as ProcessSettings;
  const { host, dataFolder, token, ports } = settings;
  const address = "127.0.0.1";
  const transport = await PeerTransport.listen({
    host,
    address,
    port: ports[host] as number,
    token,
    peers: new Map(
      Object.entries(ports)
        .filter(([name]) => name !== host)
        .map(([name, port]) => [name as HostId, { address, port }]),
    ),
    minBackoff: 20,
    maxBackoff: 100,
  });
  const replica = await Replica.open({
    dataFolder,
    transport,
    groups,
    tickInterval: 20,
    onFailure: ({ group, error }) => console.error(`${group}: ${error}`),
  });
  const group = replica.group<IdList, Append, number>(control);
  const run = async (call: ProcessCall): Promise<unknown> => {
    switch (call.kind) {
      case "bootstrap":
        return await replica.bootstrap({ hosts: call.hosts });
      case "propose":
        return await group.propose({ id: call.id });
      case "ids":
        return await group.query("ids", null);
      case "leadership":
        return replica.leadership(control);
      case "confirm":
        return await replica.confirmLeadership(control, { timeout: 3_000 });
    }
  };
  process.on("message", (message) => {
    const { id, call } = message as { id: number; call: ProcessCall };
    run(call).then(
      (value) => process.send?.({ id, value }),
      (error) => process.send?.({ id, error: String(error.kind) }),
    );
  });
  process.on("disconnect", () => process.exit(0));
  process.send?.({ ready: true });
}

main().catch((error) => {
  console.error(String(error));
  process.exit(1);
});
