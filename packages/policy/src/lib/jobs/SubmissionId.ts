/**
 * Identifies the submission that wrote the record of a job.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'

/** Distinguishes the record that a submission wrote itself from one that an earlier submission of the same job wrote. @public */
export type SubmissionId = string & { readonly __submissionId: true }

/** @returns a new submission id @public */
export const createSubmissionId = (): SubmissionId => randomUUID() as SubmissionId
