/**
 * Encodes the demand for machines that the scheduler of a service publishes for the holder of the machine duty.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import type { ServiceDemand } from '@quillscale/policy'

/** Prefix of the demands of all services. @public */
export const DEMAND_PREFIX = 'demand/'
/** Key of the demand of a service. @public */
export const demandKey = (service: string): string => `${DEMAND_PREFIX}${service}`

const nonNegativeNumber = z.number().nonnegative()
const demandSchema = z.object({
  wantedMillis: nonNegativeNumber,
  leastMachines: nonNegativeNumber,
  machineMillis: nonNegativeNumber,
  runs: z.array(z.tuple([z.string(), nonNegativeNumber]))
})

/**
 * Encodes a demand for the store.
 *
 * @param demand - the demand of a service
 * @returns the demand as JSON
 * @public
 */
export function encodeDemand ({ wantedMillis, leastMachines, machineMillis, runsByMachine }: ServiceDemand): string {
  return JSON.stringify({ wantedMillis, leastMachines, machineMillis, runs: [...runsByMachine] })
}

/**
 * Decodes a stored demand.
 *
 * @param service - the service whose demand it is
 * @param text - the stored JSON
 * @returns the demand, or why the record is malformed
 * @public
 */
export function decodeDemand (service: string, text: string): Result<ServiceDemand, DecodeProblem> {
  return decodeJson(demandSchema, text).map(({ runs, ...rest }) => ({ service, ...rest, runsByMachine: new Map(runs) }))
}
