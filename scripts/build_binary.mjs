/**
 * Builds `dist/rhubarbstage`, a Node.js single executable application: the
 * bundled command inside a copy of the running Node.js. Prints size and time.
 */
import { spawnSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  writeFileSync,
} from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { inject } from "postject";
import buildPrograms from "./build.mjs";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const dist = join(root, "dist");

/** Marker in Node.js executables that records whether a blob was injected. */
const fuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/**
 * The `require` of an embedded script loads only built-in modules and warns
 * about others, such as Nest's optional peer dependencies; this one throws
 * without warning.
 */
const prelude = 'require = require("node:module").createRequire(__filename);';

function makeBlob() {
  const config = join(dist, "sea.json");
  const main = join(dist, "sea.cjs");
  const bundle = readFileSync(join(dist, "rhubarbstage.cjs"), "utf8");
  writeFileSync(main, `${prelude}\n${bundle}`);
  const blob = join(dist, "sea.blob");
  const settings = {
    main,
    output: blob,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  };
  writeFileSync(config, JSON.stringify(settings));
  const run = spawnSync(
    process.execPath,
    ["--experimental-sea-config", config],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
  if (run.status !== 0) throw new Error("Node.js failed to build the SEA blob");
  const content = readFileSync(blob);
  rmSync(config);
  rmSync(main);
  rmSync(blob);
  return content;
}

/**
 * Builds the binary and returns its path. With `bundled`, the bundle in `dist/`
 * is not rebuilt, so that tests can run it at the same time.
 */
export default async function buildBinary(options = {}) {
  if (!options.bundled) await buildPrograms();
  const binary = join(dist, "rhubarbstage");
  const temporary = `${binary}.${process.pid}`;
  copyFileSync(process.execPath, temporary);
  chmodSync(temporary, 0o755);
  await inject(temporary, "NODE_SEA_BLOB", makeBlob(), {
    sentinelFuse: fuse,
  });
  // Replaced atomically, since the old binary may be running or under test.
  renameSync(temporary, binary);
  return binary;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  const start = performance.now();
  const bundled = process.argv.includes("--bundled");
  const binary = await buildBinary({ bundled });
  const megabytes = (statSync(binary).size / 1e6).toFixed(1);
  const seconds = ((performance.now() - start) / 1_000).toFixed(1);
  console.log(`${binary}: ${megabytes} MB in ${seconds} s`);
}
