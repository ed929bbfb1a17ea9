import { readFileSync } from "node:fs";
import { join } from "node:path";
import { operatorPaths } from "@rhubarbstage/settings";
import { Metrics } from "@rhubarbstage/telemetry";
import { exitCodes } from "../../src/mod.ts";

const page = readFileSync(
  join(__dirname, "../../../../docs/operators.md"),
  "utf8",
);

describe("docs/operators.md", () => {
  // Guards against an undocumented metric, path or exit code.
  test("documents every metric, operator path and exit code", async () => {
    const metrics = await new Metrics().registry.getMetricsAsJSON();
    const own = metrics.map(({ name }) => name)
      .filter((name) => name.startsWith("rhubarbstage_"));
    expect(own.length).toBeGreaterThan(10);
    for (const name of own) expect(page).toContain(`\`${name}\``);
    for (const path of Object.values(operatorPaths)) {
      expect(page).toContain(` ${path}\``);
    }
    for (const code of Object.values(exitCodes)) {
      expect(page).toMatch(new RegExp(`^\\| ${code} `, "m"));
    }
  });
});
