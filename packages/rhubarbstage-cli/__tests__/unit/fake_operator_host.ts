/**
 * Fake of a host's operator interface, for tests of the command.
 *
 * @module
 */

import { createServer, type IncomingMessage, type Server } from "node:http";
import type { AddressInfo } from "node:net";

/** A request that the fake received. */
export interface ReceivedCall {
  readonly method: string;
  readonly url: string;
  readonly authorization: string | undefined;
  readonly body: unknown;
}

/** An answer, or `lost` to close the connection after reading the request. */
export type Answer =
  | { readonly status: number; readonly body: unknown }
  | "lost";

/** Answers by method and path, without the query. */
export type Answers = Record<string, (call: ReceivedCall) => Answer>;

async function readCall(message: IncomingMessage): Promise<ReceivedCall> {
  let text = "";
  for await (const chunk of message) text += chunk;
  return {
    method: message.method ?? "",
    url: message.url ?? "",
    authorization: message.headers.authorization,
    body: text === "" ? undefined : JSON.parse(text),
  };
}

/** Serves prepared answers on a free loopback port. */
export class FakeOperatorHost {
  readonly calls: ReceivedCall[] = [];
  readonly #server: Server;

  constructor(answers: Answers) {
    this.#server = createServer(async (message, response) => {
      const call = await readCall(message);
      this.calls.push(call);
      const key = `${call.method} ${call.url.split("?")[0]}`;
      const answer = answers[key]?.(call) ?? errorAnswer(404, "not_found");
      if (answer === "lost") {
        message.socket.destroy();
        return;
      }
      response.writeHead(answer.status, { "content-type": "application/json" });
      response.end(JSON.stringify(answer.body));
    });
  }

  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    const { port } = this.#server.address() as AddressInfo;
    return `http://127.0.0.1:${port}`;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** Creates an error answer in the format of hosts. */
export function errorAnswer(
  status: number,
  type: string,
  outcome = "not_run",
): Answer {
  const message = "refused";
  return {
    status,
    body: { error: { type, message, outcome, request_id: "1" } },
  };
}
