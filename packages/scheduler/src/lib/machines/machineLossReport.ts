/**
 * That a machine is down, as the holder of machines tells it to the scheduler of its service.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'

const machineLossReportSchema = z.object({
  machineId: z.string(),
  /** Unix time at which the list was asked for that shows it. */
  listedWallMs: z.number()
})

/** The report; the worker is named by its key. @public */
export type MachineLossReport = z.infer<typeof machineLossReportSchema>

/** @param report - of a machine @returns it as text @public */
export const encodeMachineLossReport = (report: MachineLossReport): string => JSON.stringify(report)

/** @param text - as kept @returns the report, or why it cannot be read @public */
export const decodeMachineLossReport = (text: string): Result<MachineLossReport, DecodeProblem> => decodeJson(machineLossReportSchema, text)
