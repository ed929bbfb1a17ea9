import type { RequestId, ServiceName } from "rhubarbstage";
import { StreamTable } from "../../src/mod.ts";

const service = "assistant" as ServiceName;

function makeStream(id: number, lifetime: number) {
  return { request: `${id}` as RequestId, origin: { service }, lifetime };
}

// Guards against memory that grows with every stream ever begun.
test("streams are dropped once they have expired", () => {
  const table = new StreamTable();
  for (let now = 0; now < 60_000; now += 10) {
    table.add(makeStream(now, 2_000), now);
  }
  expect(table.list(59_990)).toHaveLength(200);
  expect(table.size).toBeLessThanOrEqual(300);
  expect(table.find("57990" as RequestId, 59_990)).toBeUndefined();
  expect(table.find("58000" as RequestId, 59_990)).toEqual({ service });
});

test("the number of streams is bounded", () => {
  const table = new StreamTable();
  for (let id = 0; id < 100_010; id += 1) table.add(makeStream(id, 1_000), 0);
  expect(table.size).toBe(100_000);
});
