/**
 * Base class of policies.
 *
 * @module
 */

import { Reducer } from "rhubarbstage";
import type { PolicyEffect, PolicyEvent } from "./types.ts";

/**
 * Decides on admission, queue order, routing, retries and engine roles. Pure:
 * see {@linkcode Reducer}.
 */
export abstract class Policy<State = unknown>
  extends Reducer<State, PolicyEvent, PolicyEffect> {}
