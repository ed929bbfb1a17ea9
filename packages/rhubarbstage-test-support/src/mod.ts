/**
 * Fakes, fault proxy and process driver for tests.
 *
 * @module
 */

export { FakeEngine } from "./fake_engine.ts";
export type { FakeCrash } from "./fake_engine.ts";
export type {
  FakeEngineOptions,
  FakeEngineRecords,
  FakeEngineRole,
  FakeEngineSwitches,
  FakeGenerationRecord,
  FakeOrderRecord,
  FakeRoleSpeed,
} from "./fake_engine_types.ts";
export { fakeEngineDefaults } from "./fake_engine_types.ts";
export {
  fakeChatPrompt,
  fakeText,
  fakeToken,
  fakeTokenCount,
} from "./fake_engine_text.ts";
