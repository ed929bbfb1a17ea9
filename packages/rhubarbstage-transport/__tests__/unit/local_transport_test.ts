import { RhubarbstageError } from "rhubarbstage";
import type { HostId } from "rhubarbstage";
import {
  LocalNetwork,
  messageType,
  requestType,
  TransportError,
} from "../../src/mod.ts";

const first = "first" as HostId;
const second = "second" as HostId;
const note = messageType<Map<string, number>>("note");
const double = requestType<number, number>("double");

describe("LocalNetwork", () => {
  // Guards against bodies that share memory between hosts or lose their types.
  test("copies message bodies and answers requests", async () => {
    const network = new LocalNetwork();
    const sender = network.addHost(first);
    const receiver = network.addHost(second);
    const received: Map<string, number>[] = [];
    receiver.onMessage(note, (body) => received.push(body));
    receiver.onRequest(double, (body) => {
      if (body < 0) throw new RhubarbstageError("forbidden");
      return body * 2;
    });
    const body = new Map([["a", 1]]);
    sender.send(note, { to: second, body });
    body.set("a", 2);
    expect(await sender.request(double, { to: second, body: 21 })).toBe(42);
    expect(received).toEqual([new Map([["a", 1]])]);
    await expect(sender.request(double, { to: second, body: -1 })).rejects
      .toMatchObject({ kind: "forbidden" });
    network.partition(first, second);
    await expect(sender.request(double, { to: second, body: 1 })).rejects
      .toThrow(TransportError);
  });
});
