import type { CustomerId } from "rhubarbstage";
import {
  CustomerKeys,
  findCustomerProblem,
  type RelayCustomer,
  type Route,
} from "../../src/mod.ts";

function customer(name: string, ...keys: string[]): RelayCustomer {
  return { name: name as CustomerId, keys };
}

const route = { isPublic: false } as Route;
const publicRoute = { isPublic: true } as Route;
const first = customer("first", "key-1", "key-2");
const keys = new CustomerKeys([first, customer("second", "key-3")]);

test("a key identifies its customer", () => {
  expect(keys.identify(route, "key-2").customer).toBe(first);
  expect(keys.identify(publicRoute, "key-3").customer?.name).toBe("second");
});

// Guards against prefixes, empty and inherited names that count as keys.
test.each(["key-", "", "key-33", "__proto__", undefined])(
  "%j identifies nobody",
  (key) => {
    expect(() => keys.identify(route, key)).toThrow("API key");
    expect(keys.identify(publicRoute, key)).toEqual({});
  },
);

test("problems name customers and no key", () => {
  expect(findCustomerProblem([first, customer("second")])).toBeUndefined();
  expect(findCustomerProblem([first, customer("other", "key-2")]))
    .toBe(
      'Key 0 of customer "other" is listed twice; customer "first" has it ' +
        "already",
    );
  expect(findCustomerProblem([first, customer("first")]))
    .toBe('Customer "first" is listed twice');
});
