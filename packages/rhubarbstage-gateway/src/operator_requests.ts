/**
 * Schemas for the bodies of operators' requests.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { z } from "zod";
import { RhubarbstageError } from "rhubarbstage";
import type {
  BootstrapRequest,
  DrainRequest,
  EditRequest,
  OrderEndRequest,
  RepairRequest,
} from "@rhubarbstage/settings";
import { readJson } from "./request_reader.ts";

/** Maximum length of an id from an operator's client, in characters. */
const maxIdLength = 200;
const id = z.string().min(1).max(maxIdLength);

const operation = z.union([
  z.strictObject({ path: z.string(), set: z.unknown() }),
  z.strictObject({ path: z.string(), remove: z.literal(true) }),
]);

/** Schema of an edit. */
export const editRequest = z.strictObject({
  edit_id: id,
  expected_revision: z.int().min(1),
  operations: z.array(operation).min(1),
}) as unknown as z.ZodType<EditRequest>;

/** Schema of a drain. */
export const drainRequest = z.strictObject({
  edit_id: id,
  server: id,
  drained: z.boolean(),
}) as unknown as z.ZodType<DrainRequest>;

/** Schema of a bootstrap; the tree is checked before it is proposed. */
export const bootstrapRequest = z.strictObject({
  edit_id: id,
  hosts: z.array(id).min(1),
  tree: z.record(z.string(), z.unknown()),
}) as unknown as z.ZodType<BootstrapRequest>;

/** Schema of a repair. */
export const repairRequest = z.strictObject({
  edit_id: id,
  lost: id,
  replica: id.optional(),
  replacement: id,
}) as unknown as z.ZodType<RepairRequest>;

/** Schema of a request to end an order. */
export const orderEndRequest = z.strictObject({
  edit_id: id,
  order_id: id,
}) as unknown as z.ZodType<OrderEndRequest>;

/** Validates a body against a schema. Throws `invalid_request`. */
export function readOperatorBody<Body>(
  request: FastifyRequest,
  schema: z.ZodType<Body>,
): Body {
  const result = schema.safeParse(readJson(request.headers, request.body));
  if (result.success) return result.data;
  const problems = result.error.issues.map(({ path, message }) =>
    `${path.join(".") || "body"}: ${message}`
  );
  throw new RhubarbstageError("invalid_request", {
    message: problems.join("; "),
  });
}
