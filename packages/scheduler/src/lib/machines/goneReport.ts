/**
 * That a machine is down, as the holder of machines tells it to the scheduler of its service.
 *
 * @module
 */
import { decodeJson, type DecodeProblem, type Result } from '@quillscale/utils'
import * as z from 'zod'

const goneReportSchema = z.object({
  machineId: z.string(),
  /** Unix time at which the list was asked for that shows it. */
  listedWallMs: z.number()
})

/** The report; the worker is named by its key. @public */
export type GoneReport = z.infer<typeof goneReportSchema>

/** @param report - of a machine @returns it as text @public */
export const encodeGoneReport = (report: GoneReport): string => JSON.stringify(report)

/** @param text - as kept @returns the report, or why it cannot be read @public */
export const decodeGoneReport = (text: string): Result<GoneReport, DecodeProblem> => decodeJson(goneReportSchema, text)
