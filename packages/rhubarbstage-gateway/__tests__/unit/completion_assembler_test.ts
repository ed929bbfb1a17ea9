import { CompletionAssembler } from "../../src/completion_assembler.ts";

function assemble(...choices: Record<string, unknown>[]) {
  const assembler = new CompletionAssembler("chat");
  for (const choice of choices) {
    assembler.add(
      JSON.stringify({ id: "c1", model: "small", choices: [choice] }),
    );
  }
  return assembler.toCompletion();
}

describe("CompletionAssembler", () => {
  // Guards against tool calls with truncated or mixed arguments.
  test("joins tool calls by their index", () => {
    const part = (index: number, fields: Record<string, unknown>) => ({
      delta: { tool_calls: [{ index, ...fields }] },
    });
    const response = assemble(
      { delta: { role: "assistant", content: null } },
      part(0, { id: "a", type: "function", function: { name: "top_up" } }),
      part(1, { id: "b", type: "function", function: { name: "balance" } }),
      part(0, { function: { arguments: '{"li' } }),
      part(1, { function: { arguments: "{}" } }),
      part(0, { function: { arguments: 'ters":5}' } }),
      { delta: {}, finish_reason: "tool_calls" },
    );
    expect(response).toMatchObject({
      object: "chat.completion",
      choices: [{
        finish_reason: "tool_calls",
        message: {
          content: null,
          tool_calls: [
            {
              id: "a",
              function: { name: "top_up", arguments: '{"liters":5}' },
            },
            { id: "b", function: { name: "balance", arguments: "{}" } },
          ],
        },
      }],
    });
  });

  // Guards against lost log probabilities and refusals.
  test("joins texts, refusals and log probabilities", () => {
    const response = assemble(
      { delta: { content: "a" }, logprobs: { content: [1] } },
      { delta: { content: "b", refusal: "no" }, logprobs: { content: [2] } },
    );
    expect(response).toMatchObject({
      choices: [{
        message: { content: "ab", refusal: "no" },
        logprobs: { content: [1, 2] },
      }],
    });
  });
});
