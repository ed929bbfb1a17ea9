/** Accounting of memory, and which holder gives way. */

import { budgetForMemory, ManualClock, MemoryBudget } from "../../src/mod.ts";

const clock = new ManualClock();
const mebibyte = 1_048_576;

// Guards against a crowd that keeps what it has, so that ordinary callers are
// refused instead.
test("the lease that has held most for longest gives way", () => {
  const budget = new MemoryBudget({ limitBytes: 1_000, clock });
  const evicted: string[] = [];
  const hold = (name: string, bytes: number) => {
    const lease = budget.open();
    expect(lease.grow(bytes)).toBe(true);
    lease.allowEviction(() => evicted.push(name));
    return lease;
  };
  hold("old and large", 600);
  clock.advance(10);
  hold("small", 100);
  hold("large", 300);
  clock.advance(1);
  const ordinary = budget.open();
  expect(ordinary.grow(50)).toBe(true);
  expect(evicted).toEqual(["old and large"]);
  expect(budget.usedBytes).toBe(450);
  expect(budget.evictions).toBe(1);
});

// Guards against a newcomer that takes memory from smaller holders.
test("a lease that would hold most is refused itself", () => {
  const budget = new MemoryBudget({ limitBytes: 1_000, clock });
  const small = budget.open();
  small.grow(400);
  small.allowEviction(() => {});
  const large = budget.open();
  expect(large.grow(900)).toBe(false);
  expect(budget.usedBytes).toBe(400);
  expect(budget.refusals).toBe(1);
});

// Guards against memory that is lost to the accounts, or given back twice.
test("a closed lease holds nothing and takes nothing", () => {
  const budget = new MemoryBudget({ limitBytes: 1_000, clock });
  const lease = budget.open();
  lease.grow(700);
  lease.shrink(900);
  lease.grow(300);
  lease.close();
  lease.close();
  expect(lease.grow(1)).toBe(false);
  expect(budget.usedBytes).toBe(0);
});

// Guards against a budget that refuses one body within the limits.
test("the smallest machine has memory for one largest body", () => {
  expect(budgetForMemory(100 * mebibyte)).toBeGreaterThan(3 * 4 * mebibyte);
  expect(budgetForMemory(350 * mebibyte)).toBeLessThan(100 * mebibyte);
});
