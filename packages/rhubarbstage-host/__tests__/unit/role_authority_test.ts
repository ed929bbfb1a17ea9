/** Authority of the control leader to change the roles of engines. */

import { delay } from "rhubarbstage";
import { RoleAuthority } from "../../src/role_authority.ts";

const testDelay = 40;

function createAuthority() {
  const changes: boolean[] = [];
  const stopped = new AbortController();
  const authority = new RoleAuthority({
    activationDelay: testDelay,
    signal: stopped.signal,
    onChange: (held) => changes.push(held),
  });
  return { authority, changes, stopped };
}

test("grants authority to a new leader only after the activation delay", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  await delay(testDelay / 2);
  expect(changes).toEqual([]);
  await delay(testDelay);
  expect(changes).toEqual([true]);
  authority.updateLeadership(false);
  expect(changes).toEqual([true, false]);
});

test("grants no authority if leadership ends before the delay", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  authority.updateLeadership(false);
  await delay(testDelay * 2);
  expect(changes).toEqual([false]);
});

test("restarts the delay with each leadership", async () => {
  const { authority, changes } = createAuthority();
  authority.updateLeadership(true);
  await delay(testDelay / 2);
  authority.updateLeadership(false);
  authority.updateLeadership(true);
  await delay(testDelay * 0.7);
  expect(changes).toEqual([false]);
  await delay(testDelay);
  expect(changes).toEqual([false, true]);
});

test("grants no authority after the host has stopped", async () => {
  const { authority, changes, stopped } = createAuthority();
  authority.updateLeadership(true);
  stopped.abort();
  await delay(testDelay * 2);
  expect(changes).toEqual([]);
});
