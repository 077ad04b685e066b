import type { JobId } from '../lib/jobs/JobSpec.js'

/** @param number - a non-negative integer @returns a job id with this number */
export const testJobId = (number: number): JobId => number.toString(16).padStart(16, '0') as JobId
