/**
 * Operators' requests to evacuate an availability zone.
 *
 * @module
 */

/** A request that no worker of an availability zone gets new work. It is in force until the operator withdraws it. @public */
export interface EvacuationRequest {
  readonly availabilityZone: string
  /** Revision of the store at which the request was written. */
  readonly revision: number
}
