/**
 * What a scheduler tells the holder of machines about its service, as it is kept.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'
import type { ServiceDemand } from '@quillscale/policy'

/** Below which demands are kept. @public */
export const DEMAND_PREFIX = 'demand/'
/** The demand of a service. @public */
export const demandKey = (service: string): string => `${DEMAND_PREFIX}${service}`

const amount = z.number().nonnegative()
const demandSchema = z.object({
  wantedMillis: amount,
  leastMachines: amount,
  machineMillis: amount,
  runs: z.array(z.tuple([z.string(), amount]))
})

/** @param demand - of a service @returns it as text @public */
export function encodeDemand ({ wantedMillis, leastMachines, machineMillis, runsByMachine }: ServiceDemand): string {
  return JSON.stringify({ wantedMillis, leastMachines, machineMillis, runs: [...runsByMachine] })
}

/** @param service - whose @param text - as kept @returns the demand, or why it cannot be read @public */
export function decodeDemand (service: string, text: string): Result<ServiceDemand, DecodeProblem> {
  return decodeJson(demandSchema, text).map(({ runs, ...rest }) => ({ service, ...rest, runsByMachine: new Map(runs) }))
}
