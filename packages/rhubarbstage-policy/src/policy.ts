/**
 * The contract of policies.
 *
 * @module
 */

import { Reducer } from "rhubarbstage";
import type { PolicyEffect, PolicyEvent } from "./types.ts";

/**
 * Decides on admission, order, routing, retries and roles. Pure: see
 * {@linkcode Reducer}.
 */
export abstract class Policy<State = unknown>
  extends Reducer<State, PolicyEvent, PolicyEffect> {}
