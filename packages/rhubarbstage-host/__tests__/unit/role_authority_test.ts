/** When the leader of control may order engines to change their roles. */

import { delay } from "rhubarbstage";
import { RoleAuthority } from "../../src/role_authority.ts";

const settleTime = 40;

function createAuthority() {
  const changes: boolean[] = [];
  const stopped = new AbortController();
  const authority = new RoleAuthority({
    activationDelay: settleTime,
    signal: stopped.signal,
    onChange: (held) => changes.push(held),
  });
  return { authority, changes, stopped };
}

test("a new leader waits until orders of an earlier one are over", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  await delay(settleTime / 2);
  expect(changes).toEqual([]);
  await delay(settleTime);
  expect(changes).toEqual([true]);
  authority.updateLeadership(false);
  expect(changes).toEqual([true, false]);
});

test("a leadership that ends at once gives no authority", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  authority.updateLeadership(false);
  await delay(settleTime * 2);
  expect(changes).toEqual([false]);
});

test("a second leadership waits from its own beginning", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  await delay(settleTime / 2);
  authority.updateLeadership(false);
  authority.updateLeadership(true);
  await delay(settleTime * 0.7);
  expect(changes).toEqual([false]);
  await delay(settleTime);
  expect(changes).toEqual([false, true]);
});

test("a host that stops takes no authority", async () => {
  const { authority, changes, stopped } = createAuthority();
  authority.updateLeadership(true);
  stopped.abort();
  await delay(settleTime * 2);
  expect(changes).toEqual([]);
});
