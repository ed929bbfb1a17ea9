/** Bodies that arrive in any pieces. */

import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { MemoryBudget, readRequestBody } from "../../src/mod.ts";

function makeIncoming(headers: Record<string, string>): PassThrough {
  return Object.assign(new PassThrough(), {
    headers,
    socket: Object.assign(new EventEmitter(), { pause: () => {} }),
  });
}

function read(stream: PassThrough, budget: MemoryBudget, limit = 4_194_304) {
  const lease = budget.open();
  const incoming = stream as unknown as IncomingMessage;
  return readRequestBody(incoming, { limit, lease });
}

const chunked = { "transfer-encoding": "chunked" };

// Guards against bytes that are lost or mixed up where chunks are joined, and
// against small chunks that cost many times their bytes.
test.each([1, 7, 1_000, 16_384, 40_000, 65_536])(
  "chunks of %i bytes are joined",
  async (size) => {
    const whole = Buffer.from(
      Array.from({ length: 150_000 }, (_, index) => index * 31 % 251),
    );
    const budget = new MemoryBudget({ limitBytes: 4 * whole.length });
    const stream = makeIncoming(chunked);
    const body = read(stream, budget);
    for (let start = 0; start < whole.length; start += size) {
      // A copy, since a chunk keeps the whole of its buffer.
      stream.write(Buffer.copyBytesFrom(whole, start, size));
    }
    stream.end();
    expect((await body).equals(whole)).toBe(true);
    expect(budget.usedBytes).toBeGreaterThanOrEqual(whole.length);
    expect(budget.usedBytes).toBeLessThan(whole.length * 1.1);
  },
);

// Guards against a body over the limit that is called anything else.
test("a body over the limit is refused, whatever it declares", async () => {
  const budget = new MemoryBudget();
  const stream = makeIncoming(chunked);
  const body = read(stream, budget, 10);
  stream.write("x".repeat(11));
  await expect(body).rejects.toMatchObject({ kind: "body_too_large" });
  const declared = makeIncoming({ "content-length": "11" });
  await expect(read(declared, budget, 10)).rejects.toMatchObject({
    kind: "body_too_large",
  });
});

// Guards against a refusal that does not say that the request has not run.
test("a body without memory is refused as not run", async () => {
  const stream = makeIncoming(chunked);
  const body = read(stream, new MemoryBudget({ limitBytes: 500 }));
  stream.write(Buffer.alloc(300));
  await expect(body).rejects.toMatchObject({
    kind: "overloaded",
    outcome: "not_run",
    status: 503,
    retryAfterSeconds: 1,
  });
});
