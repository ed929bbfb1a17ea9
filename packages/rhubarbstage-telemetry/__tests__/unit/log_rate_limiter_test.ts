import { LogRateLimiter } from "../../src/log_rate_limiter.ts";

test("limits the lines per second and counts suppressed ones", () => {
  let now = 0;
  const limiter = new LogRateLimiter({ pendingBytes: () => 0, now: () => now });
  const admitted = Array.from({ length: 800 }, () => limiter.tryAcquire());
  expect(admitted.filter(Boolean)).toHaveLength(500);
  expect(limiter.takeSuppressedCount()).toBe(300);
  expect(limiter.takeSuppressedCount()).toBe(0);
  now = 100;
  const later = Array.from({ length: 100 }, () => limiter.tryAcquire());
  expect(later.filter(Boolean)).toHaveLength(50);
});

test("admits no line while the reader has stopped, and resumes afterwards", () => {
  let pending = 2_000_000;
  const limiter = new LogRateLimiter({
    pendingBytes: () => pending,
    now: () => 0,
  });
  expect(limiter.tryAcquire()).toBe(false);
  pending = 0;
  expect(limiter.tryAcquire()).toBe(true);
  expect(limiter.takeSuppressedCount()).toBe(1);
});
