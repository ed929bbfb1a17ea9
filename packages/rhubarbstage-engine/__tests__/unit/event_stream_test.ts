import {
  EventStreamReader,
  type GenerationEvent,
  tokenChunks,
} from "@rhubarbstage/engine";

function event(id: number, data: string): string {
  return `id: ${id}\ndata: ${data}\n\n`;
}

const usage = '{"usage":{"prompt_tokens":3,"completion_tokens":2}}';

const stream = [
  event(0, '{"role":1}'),
  ": waiting\n\n",
  event(1, '{"text":"è"}'),
  event(2, '{"text":"💧"}'),
  event(2, '{"finish":1}'),
  event(2, usage),
  "data: [DONE]\n\n",
].join("");

/** Events with the chunks of successive token events joined. */
function summarise(events: readonly GenerationEvent[]): unknown[] {
  const summary: unknown[] = [];
  for (const event of events) {
    if (event.type !== "tokens") summary.push(event);
    else summary.push(...tokenChunks(event.bytes));
  }
  return summary;
}

function read(parts: readonly Buffer[], resumeFrom = 0): GenerationEvent[] {
  const reader = new EventStreamReader(resumeFrom);
  return parts.flatMap((part) => [...reader.feed(part)]);
}

describe("event stream reader", () => {
  // Guards against events that are lost or corrupted at a packet boundary.
  test("reads the same events however the bytes are split", () => {
    const bytes = Buffer.from(stream);
    const expected = [
      { type: "part", position: 0, data: '{"role":1}' },
      '{"text":"è"}',
      '{"text":"💧"}',
      { type: "part", position: 2, data: '{"finish":1}' },
      {
        type: "usage",
        position: 2,
        data: usage,
        promptTokens: 3,
        outputTokens: 2,
      },
      { type: "finished", position: 2, promptTokens: 3, outputTokens: 2 },
    ];
    expect(summarise(read([bytes]))).toEqual(expected);
    for (let at = 1; at < bytes.length; at++) {
      const parts = [bytes.subarray(0, at), bytes.subarray(at)];
      expect(summarise(read(parts))).toEqual(expected);
    }
    const single = Array.from(bytes, (byte) => Buffer.from([byte]));
    expect(summarise(read(single))).toEqual(expected);
  });

  // Guards against positions that do not follow the tokens.
  test("reports the range of the tokens", () => {
    const [tokens] = read([Buffer.from(event(6, "{}") + event(9, "{}"))], 5);
    expect(tokens).toMatchObject({ type: "tokens", from: 5, to: 9 });
    expect(String((tokens as { bytes: Buffer }).bytes))
      .toBe(event(6, "{}") + event(9, "{}"));
  });

  // Guards against treating an incomplete answer as complete.
  test("finishes only with the terminator", () => {
    const reader = new EventStreamReader(0);
    reader.feed(Buffer.from(event(1, "{}")));
    expect(reader.finished).toBe(false);
    reader.feed(Buffer.from("data: [DONE]\n\n"));
    expect(reader.finished).toBe(true);
    expect(reader.feed(Buffer.from(event(2, "{}")))).toEqual([]);
  });

  // Guards against undetected violations of the wire format.
  test.each([
    ["goes back", event(4, "{}"), "backend_failed"],
    ["has no id", "data: {}\n\n", "backend_failed"],
    [
      "has an event of two lines",
      "id: 6\ndata: {\ndata: }\n\n",
      "backend_failed",
    ],
    [
      "ends its lines with CR LF",
      "id: 6\r\ndata: {}\r\n\r\n",
      "backend_failed",
    ],
    ["has a malformed id", "id: 6a\ndata: {}\n\n", "backend_failed"],
    ["has malformed JSON", event(5, "{"), "backend_failed"],
    [
      "reports an error",
      event(5, '{"error":{"type":"overloaded"}}'),
      "overloaded",
    ],
    ["never ends an event", `data: ${"x".repeat(300_000)}`, "backend_failed"],
  ])("refuses a stream that %s", (_name, text, kind) => {
    expect(() => read([Buffer.from(text)], 5)).toThrow(
      expect.objectContaining({ kind, outcome: "may_have_run" }),
    );
  });
});
