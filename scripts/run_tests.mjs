/**
 * Runs Jest and compares its failures with KNOWN-RED.txt. Every test runs; the
 * script exits with 0 only if each failing test is listed there. Listed tests are
 * printed with their result. A line of KNOWN-RED.txt that names a test starts
 * with `test: ` followed by the file below the root, ` > ` and the full name.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";

const knownRedFile = "KNOWN-RED.txt";
/** Time after which a run is stopped and fails, in milliseconds. */
const jestTimeLimit = 20 * 60_000;

function readKnownRed() {
  if (!existsSync(knownRedFile)) return new Set();
  const lines = readFileSync(knownRedFile, "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim()),
  );
}

function runJest(resultFile) {
  return spawnSync(
    process.execPath,
    [
      "node_modules/jest/bin/jest.js",
      "--json",
      `--outputFile=${resultFile}`,
      ...process.argv.slice(2),
    ],
    { stdio: ["ignore", "ignore", "inherit"], timeout: jestTimeLimit },
  );
}

function collectTests(report) {
  return report.testResults.flatMap((file) => {
    const path = relative(process.cwd(), file.name);
    if (file.assertionResults.length === 0) {
      return [{ name: path, status: "failed" }];
    }
    const results = file.assertionResults.map((test) => ({
      name: `${path} > ${test.fullName}`,
      status: test.status,
    }));
    // An error outside of all tests, such as one that a fake server throws.
    const isUnexplained = file.status === "failed" &&
      !results.some(({ status }) => status === "failed");
    return isUnexplained
      ? [...results, { name: path, status: "failed" }]
      : results;
  });
}

const folder = mkdtempSync(join(tmpdir(), "rhubarbstage-tests-"));
const resultFile = join(folder, "result.json");
const child = runJest(resultFile);
if (!existsSync(resultFile)) {
  const { status, signal } = child;
  console.error(
    `Jest wrote no result file (exit code ${status}, signal ${signal}; ` +
      `time limit ${jestTimeLimit} ms)`,
  );
  process.exit(child.status || 1);
}
const report = JSON.parse(readFileSync(resultFile, "utf8"));
rmSync(folder, { recursive: true });

const knownRed = readKnownRed();
const tests = collectTests(report);
const failed = tests.filter((test) => test.status === "failed");
const unexpected = failed.filter((test) => !knownRed.has(test.name));
for (const test of tests.filter((test) => knownRed.has(test.name))) {
  console.log(`known red: ${test.name}: ${test.status}`);
}
for (const test of unexpected) console.log(`failed: ${test.name}`);
const passed = tests.filter((test) => test.status === "passed").length;
const skipped = tests.length - passed - failed.length;
console.log(`${passed} passed, ${failed.length} failed, ${skipped} skipped`);
const ran = passed + failed.length > 0;
process.exit(ran && unexpected.length === 0 ? 0 : 1);
