/**
 * Report that a worker's machine is down or gone, sent by the holder of the machine duty to the scheduler of the worker's service.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'

const machineLossReportSchema = z.object({
  machineId: z.string(),
  /** Unix time when the list that shows the loss was requested. */
  listedWallMs: z.number()
})

/** The loss of a machine; the key of the record names the worker. @public */
export type MachineLossReport = z.infer<typeof machineLossReportSchema>

/** @param report - the report @returns its stored text @public */
export const encodeMachineLossReport = (report: MachineLossReport): string => JSON.stringify(report)

/** @param text - the stored text @returns the report, or why it cannot be decoded @public */
export const decodeMachineLossReport = (text: string): Result<MachineLossReport, DecodeProblem> => decodeJson(machineLossReportSchema, text)
