/**
 * Fakes, fault proxy and process driver for tests.
 *
 * @module
 */

export { FakeEngine } from "./fake_engine.ts";
export type { FakeCrashHandler } from "./fake_engine.ts";
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
export type { SelfSignedCertificate } from "./self_signed_certificate.ts";
export { selfSignedCertificate } from "./self_signed_certificate.ts";
export { freePorts } from "./free_ports.ts";
export { FaultProxy } from "./fault_proxy.ts";
export type { FaultLink } from "./fault_link.ts";
export type {
  DirectionFaults,
  FaultProxyOptions,
  LinkFaults,
  LinkFaultsChange,
  LinkRecords,
  ProxyDirection,
  ProxyLink,
  ProxyLoss,
} from "./fault_proxy_types.ts";
export { FakeService } from "./fake_service.ts";
export type {
  FakeExecution,
  FakeServiceOptions,
  FakeServiceRecords,
  FakeServiceSwitches,
} from "./fake_service_types.ts";
export { fakeServiceDefaults } from "./fake_service_types.ts";
export type { RecordedCall, SequentialModel } from "./linearizability.ts";
export { CallRecorder, isLinearizable } from "./linearizability.ts";
export type { DriverEvent, ProgramStart } from "./process_driver.ts";
export {
  deleteDataFolder,
  DrivenProcess,
  flipBit,
  ProcessDriver,
  truncateTail,
} from "./process_driver.ts";
