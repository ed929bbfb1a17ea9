import { LogRateLimiter } from "../../src/line_gate.ts";

test("bounds the lines of a second and counts the others", () => {
  let now = 0;
  const gate = new LogRateLimiter({ pendingBytes: () => 0, now: () => now });
  const admitted = Array.from({ length: 800 }, () => gate.tryAcquire());
  expect(admitted.filter(Boolean)).toHaveLength(500);
  expect(gate.takeSuppressedCount()).toBe(300);
  expect(gate.takeSuppressedCount()).toBe(0);
  now = 100;
  const later = Array.from({ length: 100 }, () => gate.tryAcquire());
  expect(later.filter(Boolean)).toHaveLength(50);
});

test("admits nothing while a reader has stopped, and goes on after it", () => {
  let pending = 2_000_000;
  const gate = new LogRateLimiter({
    pendingBytes: () => pending,
    now: () => 0,
  });
  expect(gate.tryAcquire()).toBe(false);
  pending = 0;
  expect(gate.tryAcquire()).toBe(true);
  expect(gate.takeSuppressedCount()).toBe(1);
});
