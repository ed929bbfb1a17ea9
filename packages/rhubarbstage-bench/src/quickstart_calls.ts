/**
 * Requests of the quickstart to hosts and to the fake service.
 *
 * @module
 */

import { request } from "undici";
import { apiKey, operatorToken } from "./quickstart_files.ts";

const callerHeaders = {
  authorization: `Bearer ${apiKey}`,
  "content-type": "application/json",
};

/** A streamed chat answer. */
export interface ChatAnswer {
  readonly text: string;
  readonly chunks: number;
  /** Time from sending to the first chunk with text, in milliseconds. */
  readonly firstToken: number;
  /** Whether the stream ended with its terminator. */
  readonly complete: boolean;
}

interface ChatChunk {
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string };
  }[];
}

/** Yields the data lines of server-sent events. */
async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = "";
  for await (const bytes of body) {
    rest += decoder.decode(bytes, { stream: true });
    const lines = rest.split("\n");
    rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line.startsWith("data: ")) yield line.slice("data: ".length).trim();
    }
  }
}

/** Requests and reads one streamed chat answer. Throws if it is refused. */
export async function streamChat(
  url: string,
  question: string,
): Promise<ChatAnswer> {
  const start = performance.now();
  const { statusCode, body } = await request(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: callerHeaders,
    body: JSON.stringify({
      model: "small",
      stream: true,
      max_tokens: 24,
      messages: [{ role: "user", content: question }],
    }),
  });
  if (statusCode !== 200) {
    throw new Error(
      `The chat was refused with ${statusCode}: ${await body.text()}`,
    );
  }
  let answer: ChatAnswer = {
    text: "",
    chunks: 0,
    firstToken: 0,
    complete: false,
  };
  for await (const data of readEvents(body)) {
    if (data === "[DONE]") return { ...answer, complete: true };
    const chunk = JSON.parse(data) as ChatChunk;
    const content = chunk.choices?.[0]?.delta?.content ?? "";
    if (content === "") continue;
    const isFirst = answer.chunks === 0;
    answer = {
      ...answer,
      text: answer.text + content,
      chunks: answer.chunks + 1,
      firstToken: isFirst ? performance.now() - start : answer.firstToken,
    };
  }
  return answer;
}

/** Answer to a charge. */
export interface ChargeAnswer {
  readonly status: number;
  readonly body: string;
  /** Whether the answer is the stored answer of an earlier request. */
  readonly replayed: boolean;
}

/** Charges an account with an idempotency key. */
export async function sendCharge(
  url: string,
  key: string,
): Promise<ChargeAnswer> {
  const { statusCode, headers, body } = await request(
    `${url}/services/kiosk/accounts/7/charges`,
    {
      method: "POST",
      headers: { ...callerHeaders, "idempotency-key": key },
      body: JSON.stringify({ litres: 10 }),
    },
  );
  return {
    status: statusCode,
    body: await body.text(),
    replayed: headers["rhubarbstage-replayed"] === "true",
  };
}

/** Returns how often the fake service executed requests with a key. */
export async function countExecutions(
  serviceUrl: string,
  key: string,
): Promise<number> {
  const { body } = await request(`${serviceUrl}/test/records`);
  const records = await body.json() as { counts: Record<string, number> };
  return records.counts[key] ?? 0;
}

/** Returns whether a URL answers with status 200. */
export async function isOk(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await request(url);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

/** Reads from the operator interface. Throws unless the status is 200. */
export async function readOperator<Answer>(url: string): Promise<Answer> {
  const { statusCode, body } = await request(url, {
    headers: { authorization: `Bearer ${operatorToken}` },
  });
  if (statusCode !== 200) {
    throw new Error(`${url} answered with ${statusCode}: ${await body.text()}`);
  }
  return await body.json() as Answer;
}
