/**
 * Bundles the command, the quickstart, the benchmarks and the test programs into
 * `dist/`, one CommonJS file each, as a Node.js single executable needs it. Jest
 * calls the default export before the tests, so that integration tests start the
 * current sources.
 */
import { existsSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = dirname(dirname(fileURLToPath(import.meta.url)));

/** Program name to entry file. */
const programs = {
  rhubarbstage: "packages/rhubarbstage-cli/src/main.ts",
  quickstart: "packages/rhubarbstage-bench/src/quickstart.ts",
  bench: "packages/rhubarbstage-bench/src/main.ts",
  capacity: "packages/rhubarbstage-bench/src/capacity_main.ts",
  relay: "packages/rhubarbstage-bench/src/relay.ts",
  fake_engine: "packages/rhubarbstage-test-support/src/fake_engine_main.ts",
  fake_service: "packages/rhubarbstage-test-support/src/fake_service_main.ts",
  fault_proxy: "packages/rhubarbstage-test-support/src/fault_proxy_main.ts",
  replica_bench: "packages/rhubarbstage-bench/src/replica_bench.ts",
  replica_process:
    "packages/rhubarbstage-replica/__tests__/integration/replica_process.ts",
};

/** Optional peer dependencies, loaded by Nest and ws only when installed. */
const external = [
  "@nestjs/websockets",
  "@nestjs/websockets/*",
  "@nestjs/microservices",
  "@nestjs/microservices/*",
  "@nestjs/platform-express",
  "@fastify/static",
  "@fastify/view",
  "class-transformer",
  "class-transformer/*",
  "class-validator",
  "bufferutil",
  "utf-8-validate",
];

export default async function buildPrograms() {
  const entryPoints = Object.fromEntries(
    Object.entries(programs)
      .map(([name, file]) => [name, join(root, file)])
      .filter(([, file]) => existsSync(file)),
  );
  await build({
    entryPoints,
    outdir: join(root, "dist"),
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    sourcemap: "linked",
    external,
    logLevel: "warning",
    tsconfigRaw: { compilerOptions: { experimentalDecorators: true } },
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await buildPrograms();
