import type { RouteTable } from "@rhubarbstage/relay";
import { LocalNetwork } from "@rhubarbstage/transport";
import {
  type CustomerId,
  type HostId,
  type Incarnation,
  ManualClock,
} from "rhubarbstage";
import { HostUsage } from "../../src/host_usage.ts";

const customer = "fida11" as CustomerId;
const incarnation = 1 as Incarnation;

function createUsage() {
  const clock = new ManualClock(10_000);
  const transport = new LocalNetwork().addHost("a" as HostId, { incarnation });
  return { clock, usage: new HostUsage({ incarnation, clock, transport }) };
}

function table(customers?: readonly CustomerId[]): RouteTable {
  const names = customers?.map((name) => ({ name, keys: [] }));
  const content = { version: 1, routes: [], services: [], limits: {} };
  const withCustomers = names === undefined ? {} : { customers: names };
  return { ...content, ...withCustomers } as unknown as RouteTable;
}

test("requests are counted only for customers of the route table", () => {
  const { clock, usage } = createUsage();
  usage.record(customer, 1);
  usage.setRouteTable(table([customer]));
  usage.record(customer, 1);
  usage.record("public" as CustomerId, 1);
  clock.advance(100);
  expect(usage.answer({}).buckets.map(({ counts }) => counts)).toEqual([
    [[customer, 1]],
  ]);
});

test("customers are in force from the publication of the first table with them", () => {
  const { clock, usage } = createUsage();
  expect(usage.customersSince).toBe("unknown");
  usage.setRouteTable(table());
  expect(usage.customersSince).toBe("none");
  usage.handlePublication();
  clock.advance(700);
  usage.setRouteTable(table([customer]));
  expect(usage.customersSince).toBe(10_000);
  clock.advance(60_000);
  usage.handlePublication();
  usage.setRouteTable(table([customer]));
  expect(usage.customersSince).toBe(10_000);
});

// Guards against reports of windows long before the customers.
test("a table that is read long after the last publication counts from then", () => {
  const { clock, usage } = createUsage();
  usage.handlePublication();
  clock.advance(60_000);
  usage.setRouteTable(table([customer]));
  expect(usage.customersSince).toBe(70_000);
});
