import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createLogger, formatFields } from "../../src/mod.ts";

describe("formatFields", () => {
  // Guards against values that split a line or look like another field.
  test("quotes values with spaces, quotes, equals signs and line ends", () => {
    expect(formatFields({
      host: "attica-1",
      empty: "",
      text: 'a "b"\nc=d',
      count: 3,
      absent: undefined,
    })).toBe('host=attica-1 empty="" text="a \\"b\\"\\nc=d" count=3');
  });

  // Guards against secrets in logs, by field name and inside free text.
  test("redacts secrets and keeps token counts", () => {
    const line = formatFields({
      authorization: "Bearer abc",
      peer_token: "0123456789abcdef",
      api_key: "k",
      prompt_tokens: 12,
      detail: "sent Bearer abc.def-1 with sk-live_12345678",
    });
    expect(line).not.toMatch(/abc|0123|sk-live/);
    expect(line).toContain("prompt_tokens=12");
    expect(line).toContain('detail="sent [redacted] with [redacted]"');
  });
});

describe("createLogger", () => {
  // Guards against lines that are lost at the end of a process.
  test("writes one line per event of an enabled level and flushes on close", async () => {
    const folder = await mkdtemp(join(tmpdir(), "rhubarbstage-log-"));
    const file = join(folder, "host.log");
    const logger = createLogger({ file, fields: { host: "crete-1" } });
    logger.debug("hidden");
    for (let index = 0; index < 100; index += 1) logger.info("tick", { index });
    await logger.close();
    const lines = (await readFile(file, "utf8")).trimEnd().split("\n");
    await rm(folder, { recursive: true });
    expect(lines.length).toBe(100);
    expect(lines.at(-1)).toMatch(
      /^time=\S+Z level=info event=tick host=crete-1 index=99$/,
    );
  });
});
