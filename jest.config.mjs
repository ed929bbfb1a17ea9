/** Tests run on the sources; workspaces resolve through their `exports`. */
export default {
  testEnvironment: "node",
  testMatch: [
    "<rootDir>/packages/*/__tests__/**/*_test.ts",
    "<rootDir>/platform/__tests__/**/*_test.ts",
  ],
  transform: {
    "^.+\\.ts$": ["@swc/jest", {
      jsc: {
        target: "es2022",
        parser: { syntax: "typescript", decorators: true },
        transform: { legacyDecorator: true },
      },
      module: { type: "commonjs" },
    }],
    // Some dependencies ship as ES modules only, which Jest does not load.
    "^.+\\.m?js$": ["@swc/jest", {
      jsc: { target: "es2022" },
      module: { type: "commonjs" },
    }],
  },
  transformIgnorePatterns: [
    "/node_modules/(?!(tinyqueue|fastest-levenshtein)/)",
  ],
  globalSetup: "<rootDir>/scripts/build.mjs",
  testTimeout: 60_000,
  maxWorkers: 4,
};
