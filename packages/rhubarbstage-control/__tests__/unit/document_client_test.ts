/** Starting a host while no leader can confirm the document in force. */

import { delay, RhubarbstageError } from "rhubarbstage";
import {
  type ControlGroup,
  type DocumentAnswer,
  DocumentClient,
} from "../../src/mod.ts";

/** A group whose replicas have some versions and no leader. */
class LeaderlessGroup {
  stored: number[];
  confirmed: number | undefined;

  constructor(stored: number[]) {
    this.stored = stored;
  }

  get group(): ControlGroup {
    return {
      query: () => {
        if (this.confirmed === undefined) {
          return Promise.reject(
            new RhubarbstageError("no_quorum", { outcome: "not_run" }),
          );
        }
        return Promise.resolve(answer(this.confirmed));
      },
      queryUncommitted: () =>
        Promise.resolve(
          this.stored.map((version) => version === 0 ? {} : answer(version)),
        ),
    } as unknown as ControlGroup;
  }
}

function answer(version: number): DocumentAnswer {
  return {
    version,
    document: { name: "routes", version, content: `content ${version}` },
  };
}

/** Returns the versions that a client uses within some milliseconds. */
async function follow(
  group: LeaderlessGroup,
  options: { readonly copies?: number; readonly time: number },
): Promise<number[]> {
  const received: number[] = [];
  const abortController = new AbortController();
  const client = new DocumentClient({ group: group.group, name: "routes" });
  client.follow({
    signal: abortController.signal,
    onDocument: ({ version }) => received.push(version),
    ...(options.copies === undefined ? {} : { requiredCopies: options.copies }),
  });
  await delay(options.time);
  abortController.abort();
  return received;
}

test("uses the newest version that enough replicas have", async () => {
  const group = new LeaderlessGroup([7, 9, 9, 4, 8]);
  expect(await follow(group, { copies: 3, time: 60 })).toEqual([8]);
});

test("uses no version that too few replicas have", async () => {
  const group = new LeaderlessGroup([7, 9, 0, 0]);
  expect(await follow(group, { copies: 3, time: 250 })).toEqual([]);
});

test("reads uncommitted versions again until replicas answer", async () => {
  const group = new LeaderlessGroup([]);
  const following = follow(group, { copies: 2, time: 350 });
  await delay(50);
  group.stored = [5, 5];
  expect(await following).toEqual([5]);
});

test("a confirmed version replaces an unconfirmed one only if it is newer", async () => {
  const group = new LeaderlessGroup([6, 6, 6]);
  const following = follow(group, { copies: 3, time: 1_600 });
  await delay(50);
  group.confirmed = 5;
  await delay(750);
  group.confirmed = 8;
  expect(await following).toEqual([6, 8]);
});

test("unconfirmed versions are not used without requiredCopies", async () => {
  const group = new LeaderlessGroup([6, 6, 6]);
  expect(await follow(group, { time: 250 })).toEqual([]);
});
