import { Buffer } from "node:buffer";
import fc from "fast-check";
import { EventSplitter } from "../../src/event_splitter.ts";

const stream = [1, 2, 3, 4, 5, 6]
  .map((id) => `id: ${id}\ndata: piece ${id}\n\n`)
  .join("");

function split(cuts: readonly number[], text: string) {
  const splitter = new EventSplitter();
  const blocks = [];
  let from = 0;
  for (const cut of [...cuts].sort((left, right) => left - right)) {
    blocks.push(splitter.push(Buffer.from(text.slice(from, cut))));
    from = cut;
  }
  blocks.push(splitter.push(Buffer.from(text.slice(from))));
  return { splitter, blocks: blocks.filter((block) => block !== undefined) };
}

test("returns only complete events for any split into chunks", () => {
  const cuts = fc.array(fc.nat(stream.length), { maxLength: 8 });
  fc.assert(
    fc.property(cuts, (positions) => {
      const { splitter, blocks } = split(positions, stream);
      const text = blocks.map(({ bytes }) => bytes.toString()).join("");
      const count = blocks.reduce((sum, block) => sum + block.count, 0);
      return text === stream && count === 6 &&
        splitter.partialEvent.length === 0 &&
        blocks.every(({ bytes }) => bytes.toString().endsWith("\n\n"));
    }),
    { seed: 7 },
  );
});

test("buffers an incomplete event and returns the last complete id", () => {
  const { splitter, blocks } = split([], `${stream}id: 7\ndata: bro`);
  expect(blocks[0]?.lastId).toBe("6");
  expect(splitter.partialEvent.toString()).toBe("id: 7\ndata: bro");
});

test("accepts lines that end with CRLF", () => {
  const { blocks } = split([], "id: 9\r\ndata: x\r\n\r\n");
  expect(blocks).toHaveLength(1);
  expect(blocks[0]?.lastId).toBe("9");
});
