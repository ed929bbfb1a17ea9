/**
 * Text of the fake engine: each token is a function of prompt and position, so
 * that tests can check every token of an answer.
 *
 * @module
 */

const charactersPerToken = 4;

/** Returns the number of tokens that the fake engine counts in a prompt. */
export function fakeTokenCount(prompt: string): number {
  return Math.ceil(prompt.length / charactersPerToken);
}

/** Returns the seed of an answer: FNV-1a over the prompt's UTF-16 units. */
export function fakeSeed(prompt: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < prompt.length; index++) {
    hash = Math.imul(hash ^ prompt.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}

/** Returns the token at a position of the answer generated from a seed. */
export function fakeTokenOfSeed(seed: number, position: number): string {
  let mixed = Math.imul(seed ^ (position + 1), 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b);
  return ` ${((mixed ^ (mixed >>> 13)) >>> 0).toString(36)}`;
}

/** Returns the token at a position of the answer to a prompt. */
export function fakeToken(prompt: string, position: number): string {
  return fakeTokenOfSeed(fakeSeed(prompt), position);
}

/** Returns the first `tokens` tokens of the answer to a prompt. */
export function fakeText(prompt: string, tokens: number): string {
  const seed = fakeSeed(prompt);
  return Array.from(
    { length: tokens },
    (_, position) => fakeTokenOfSeed(seed, position),
  ).join("");
}

/** Flattens chat messages to the prompt of the fake engine. */
export function fakeChatPrompt(
  messages: readonly { readonly role: string; readonly content: unknown }[],
): string {
  return messages
    .map(({ role, content }) => `${role}: ${contentText(content)}`)
    .join("\n");
}

function contentText(content: unknown): string {
  if (typeof content === "string") return content;
  if (!Array.isArray(content)) return "";
  return content.map((part) => part?.text ?? "").join("");
}
