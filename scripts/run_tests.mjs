/**
 * Runs Jest and compares its failures with KNOWN-RED.txt. Tests of crowds of
 * clients run one at a time, after all others. Every test runs; the
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

/** Tests that must not run beside others. */
const soloTests = "platform/__tests__/(memory_bounds|\\w+_crowds)_test\\.ts$";

/** Returns the arguments of Jest for each of its runs. */
function listRuns() {
  const given = process.argv.slice(2);
  if (given.length > 0) return [given];
  return [
    [
      "--testPathIgnorePatterns=/node_modules/",
      `--testPathIgnorePatterns=${soloTests}`,
    ],
    ["--runInBand", `--testPathPatterns=${soloTests}`],
  ];
}

function readKnownRed() {
  if (!existsSync(knownRedFile)) return new Set();
  const lines = readFileSync(knownRedFile, "utf8").split("\n");
  return new Set(
    lines.filter((line) => line.startsWith("test: "))
      .map((line) => line.slice("test: ".length).trim()),
  );
}

/** Runs Jest and returns its report; exits if there is none. */
function runJest(args) {
  const folder = mkdtempSync(join(tmpdir(), "rhubarbstage-tests-"));
  const resultFile = join(folder, "result.json");
  const { status, signal } = spawnSync(
    process.execPath,
    [
      "node_modules/jest/bin/jest.js",
      "--json",
      `--outputFile=${resultFile}`,
      ...args,
    ],
    { stdio: ["ignore", "ignore", "inherit"], timeout: jestTimeLimit },
  );
  if (!existsSync(resultFile)) {
    console.error(
      `Jest wrote no result file (exit code ${status}, signal ${signal}; ` +
        `time limit ${jestTimeLimit} ms)`,
    );
    process.exit(status || 1);
  }
  const report = JSON.parse(readFileSync(resultFile, "utf8"));
  rmSync(folder, { recursive: true });
  if (report.numTotalTests === 0) {
    console.error(`Jest found no test with the arguments ${args.join(" ")}`);
    process.exit(1);
  }
  return report;
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

const knownRed = readKnownRed();
const tests = listRuns().flatMap((args) => collectTests(runJest(args)));
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
