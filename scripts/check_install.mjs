/**
 * Checks that the installed packages are those of `package-lock.json`, for this
 * kind of machine. A missing nested folder would let the bundler take another
 * version of a package from a folder above it, and the programs end at their
 * start. Exits with 1 and names the differences. An argument names the root.
 */
import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** Differences that are printed. */
const maxPrinted = 10;

const root = process.argv[2] ??
  dirname(dirname(fileURLToPath(import.meta.url)));

function readJson(path) {
  try {
    return JSON.parse(readFileSync(path, "utf8"));
  } catch {
    return undefined;
  }
}

// Node.js names the version of glibc only where it is used.
const libcName = "glibcVersionRuntime" in process.report.getReport().header
  ? "glibc"
  : "musl";

function isForThisMachine({ os, cpu, libc }) {
  return matches(os, process.platform) && matches(cpu, process.arch) &&
    matches(libc, libcName);
}

function matches(allowed, actual) {
  return allowed === undefined || allowed.includes(actual);
}

function findDifferences(lock) {
  const entries = Object.entries(lock.packages ?? {});
  return entries.flatMap(([path, entry]) => {
    const isInstalled = path.includes("node_modules/") && !entry.link &&
      isForThisMachine(entry);
    // Optional packages for every machine may fail to build on one.
    const mayBeMissing = entry.optional === true && entry.cpu === undefined;
    if (!isInstalled || mayBeMissing) return [];
    const found = readJson(join(root, path, "package.json"))?.version;
    if (found === entry.version) return [];
    return [`${path} is ${found ?? "missing"}, expected ${entry.version}`];
  });
}

const lock = readJson(join(root, "package-lock.json"));
const differences = lock === undefined
  ? [`${join(root, "package-lock.json")} cannot be read`]
  : findDifferences(lock);
for (const line of differences.slice(0, maxPrinted)) console.error(line);
if (differences.length > maxPrinted) {
  console.error(`and ${differences.length - maxPrinted} more`);
}
process.exit(differences.length === 0 ? 0 : 1);
