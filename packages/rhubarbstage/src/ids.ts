/**
 * Branded identifiers, so that one kind of id cannot be passed for another.
 *
 * @module
 */

/**
 * A `Base` with a compile-time tag that separates brands; created by a cast.
 */
export type Brand<Base, Name extends string> = Base & {
  readonly __brand: Name;
};

/** A host of the system, as named in its process settings. */
export type HostId = Brand<string, "HostId">;
/** A region, for example `lombardia`. */
export type Region = Brand<string, "Region">;
/** An availability zone inside a region. */
export type AvailabilityZone = Brand<string, "AvailabilityZone">;
/** Name of a customer in the settings tree. */
export type CustomerId = Brand<string, "CustomerId">;
/** A model engine or an instance of a plain service. */
export type BackendServerId = Brand<string, "BackendServerId">;
/** A model that callers ask for by name. */
export type ModelName = Brand<string, "ModelName">;
/**
 * Version of the software that a backend server runs, not of its model. What two
 * versions write does not fit together in one answer.
 */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
/** A plain service that callers ask for by name. */
export type ServiceName = Brand<string, "ServiceName">;
/** A kind of work below a customer in the settings tree. */
export type WorkKind = Brand<string, "WorkKind">;
/** One request of one caller. */
export type RequestId = Brand<string, "RequestId">;
/** One attempt to run a request on one backend server. */
export type AttemptId = Brand<string, "AttemptId">;
/** Start of a process, in milliseconds since the Unix epoch; larger is newer. */
export type Incarnation = Brand<number, "Incarnation">;
/** Revision of the settings tree; starts at 1, and each edit adds one. */
export type Revision = Brand<number, "Revision">;
/** Fencing number of an order: log index of its committed intent. */
export type FencingNumber = Brand<number, "FencingNumber">;
/** Hash of customer, service and idempotency key, in hexadecimal. */
export type ClaimKey = Brand<string, "ClaimKey">;
/** Id that an operator's client sets for one edit; the same in each resend. */
export type EditId = Brand<string, "EditId">;
/** Id of one order to an engine. */
export type OrderId = Brand<string, "OrderId">;
/**
 * Random identity of a host's data folder, carried by its seats in all groups.
 */
export type ReplicaId = Brand<string, "ReplicaId">;
/** A replicated group, for example `control` or `journal-0`. */
export type GroupName = Brand<string, "GroupName">;
