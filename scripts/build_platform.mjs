/**
 * Bundles the host process for the platform into `target/platform.cjs`, or into
 * the file that the first argument names.
 */
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const root = dirname(dirname(fileURLToPath(import.meta.url)));

await build({
  entryPoints: [join(root, "platform/main.ts")],
  outfile: process.argv[2] ?? join(root, "target/platform.cjs"),
  bundle: true,
  // Identifiers are not minified, so that logged stack traces are readable.
  minifySyntax: true,
  minifyWhitespace: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  external: ["bufferutil", "utf-8-validate"],
  logLevel: "warning",
});
