import type { BackendServerId, RequestId } from "rhubarbstage";
import { NaivePolicy } from "../../src/mod.ts";
import { makeServer, makeWork, PolicyDriver } from "./fixtures.ts";

describe("NaivePolicy", () => {
  // Guards against a baseline policy that favours one server.
  test("dispatches to servers in turn", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    for (const id of ["a", "b", "c"]) driver.seeServer(makeServer(id));
    for (const id of ["1", "2", "3", "4"]) driver.arrive(makeWork(id));
    expect(driver.dispatches().map((effect) => effect.server))
      .toEqual(["a", "b", "c", "a"]);
  });

  // Guards against leaving and full servers or a missing model.
  test("skips servers that cannot run the request", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("leaving", { acceptsNewWork: false }));
    driver.seeServer(makeServer("other", { models: [] }));
    driver.seeServer(makeServer("small", { capacity: 1 }));
    driver.arrive(makeWork("1"));
    driver.arrive(makeWork("2"));
    expect(driver.dispatches().map((effect) => effect.server))
      .toEqual(["small"]);
  });

  // Guards against a queue that reorders or loses waiting work.
  test("serves waiting work in order of arrival", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("a", { capacity: 1 }));
    for (const id of ["1", "2", "3"]) driver.arrive(makeWork(id));
    const [first] = driver.dispatches();
    const [second] = driver.dispatches(driver.finish(first!, 10));
    const [third] = driver.dispatches(driver.finish(second!, 20));
    expect([second?.request, third?.request]).toEqual(["2", "3"]);
  });

  // Guards against dispatching work whose caller has left or whose deadline has
  // passed.
  test("drops queued work at its deadline and at a disconnect", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("a", { capacity: 1 }));
    driver.arrive(makeWork("1"));
    driver.arrive(makeWork("2", { deadlineAt: 100 }));
    driver.arrive(makeWork("3"));
    driver.send({ type: "caller_gone", now: 50, request: "3" as RequestId });
    expect(driver.refusals(driver.tick(100)))
      .toMatchObject([{ request: "2", outcome: "not_run" }]);
    driver.finish(driver.dispatches()[0]!, 200);
    expect(driver.dispatches()).toHaveLength(1);
  });

  // Guards against interrupting a charge or filing in progress.
  test("cancels running work only if it is repeatable", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("a"));
    driver.arrive(makeWork("1", { deadlineAt: 100 }));
    driver.arrive(makeWork("2", { deadlineAt: 100, repeatable: false }));
    expect(driver.cancels(driver.tick(100)))
      .toMatchObject([{ request: "1", reason: "deadline" }]);
  });

  // Guards against a failure that is hidden from the caller or reported twice.
  test("reports a failure once, with its outcome", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("a"));
    driver.arrive(makeWork("1"));
    const { request, attempt } = driver.dispatches()[0]!;
    const failure = {
      type: "failed",
      now: 5,
      request,
      attempt,
      kind: "backend_failed",
      outcome: "may_have_run",
      deliveredTokens: 0,
      connectionLost: true,
    } as const;
    expect(driver.send(failure)).toMatchObject([{ outcome: "may_have_run" }]);
    expect(driver.send(failure)).toEqual([]);
  });

  // Guards against queueing for a server that is not known.
  test("refuses work that no known server serves", () => {
    const driver = new PolicyDriver(new NaivePolicy());
    driver.seeServer(makeServer("a"));
    driver.send({
      type: "server_gone",
      now: 0,
      server: "a" as BackendServerId,
      crashed: false,
    });
    driver.arrive(makeWork("1"));
    expect(driver.effects).toMatchObject([{ kind: "no_backend_server" }]);
  });
});
