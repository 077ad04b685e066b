/**
 * What a scheduler tells the holder of machines about its service, as it is kept.
 *
 * @module
 */
import * as z from 'zod'
import type { ServiceDemand } from '@quillscale/policy'

/** Below which demands are kept. @public */
export const DEMAND_PREFIX = 'demand/'
/** The demand of a service. @public */
export const demandKey = (service: string): string => `${DEMAND_PREFIX}${service}`

const demandSchema = z.object({
  wantedMillis: z.number(),
  leastMachines: z.number(),
  machineMillis: z.number(),
  runs: z.array(z.tuple([z.string(), z.number()]))
})

/** @param demand - of a service @returns it as text @public */
export function encodeDemand ({ wantedMillis, leastMachines, machineMillis, runsByMachine }: ServiceDemand): string {
  return JSON.stringify({ wantedMillis, leastMachines, machineMillis, runs: [...runsByMachine] })
}

/** @param service - whose @param text - as kept @returns the demand @public */
export function decodeDemand (service: string, text: string): ServiceDemand {
  const { runs, ...rest } = demandSchema.parse(JSON.parse(text))
  return { service, ...rest, runsByMachine: new Map(runs) }
}
