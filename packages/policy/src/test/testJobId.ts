import type { JobId } from '../lib/jobs/JobSpec.js'

/** @param number - any @returns a job id */
export const testJobId = (number: number): JobId => number.toString(16).padStart(16, '0') as JobId
