/**
 * Bounds the memory that the jobs of all services take on a host that holds their duties.
 *
 * @module
 */
import type { JobSpec } from './JobSpec.js'

/** Memory of a job without its steps and texts: its state, its records, and its part of the replica of the inbox. */
const JOB_BYTES = 2000
/** Memory of a step: its specification, its record, and the task that stands for those that wait. */
const STEP_BYTES = 1000
const DEPENDENCY_BYTES = 16
/** The command is kept with the job and within its record; a character may take two bytes. */
const BYTES_PER_COMMAND_CHARACTER = 4

/** @param spec - a job @returns the memory that it takes on the holder of its service, in bytes; its tasks take none before they start @public */
export function memoryOfJob ({ steps, command }: JobSpec): number {
  const stepBytes = steps.reduce((sum, { dependsOn }) => sum + STEP_BYTES + DEPENDENCY_BYTES * dependsOn.length, 0)
  return JOB_BYTES + BYTES_PER_COMMAND_CHARACTER * command.length + stepBytes
}

/** A job is large if it takes a greater part of the memory for all jobs. */
const LARGE_JOB_SHARE = 1 / 1000
/** Part of that memory which is open to large jobs. */
const SHARE_OF_LARGE_JOBS = 1 / 4

/** Memory that accepted jobs take, in bytes. @public */
export interface JobMemoryUse {
  readonly allBytes: number
  /** That of the jobs of the same account; 0 for a job without an account. */
  readonly accountBytes: number
}

/**
 * Decides whether one more job fits. Large jobs leave most of the memory to small ones, and each account leaves as much to others as it takes itself.
 *
 * @param jobBytes - memory of the job
 * @param used - memory of the jobs accepted so far
 * @param mostBytes - the bound for all jobs
 * @returns whether to accept it
 * @public
 */
export function fitsMemory (jobBytes: number, { allBytes, accountBytes }: JobMemoryUse, mostBytes: number): boolean {
  const openBytes = jobBytes > mostBytes * LARGE_JOB_SHARE ? mostBytes * SHARE_OF_LARGE_JOBS : mostBytes
  const leftBytes = openBytes - allBytes - jobBytes
  return leftBytes >= 0 && (accountBytes === 0 || accountBytes + jobBytes <= leftBytes)
}
