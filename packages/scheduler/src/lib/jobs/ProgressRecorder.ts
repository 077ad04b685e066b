/**
 * Writes the progress records of a service's jobs.
 *
 * @module
 */
import type { PlatformError } from '@quillscale/ports'
import { hasEnded, type Job, type JobId, type Run, type Task } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { FencedBatchWriter } from '../records/FencedBatchWriter.js'
import { progressKey, progressPartKey, progressPrefix, recordKeysOf } from '../records/storeKeys.js'
import { countParts, encodePart, encodeProgress, partOf } from './jobProgress.js'

/** Dependencies of a {@link ProgressRecorder}. @public */
export interface ProgressRecorderOptions {
  readonly service: string
  readonly log: EventLog
  readonly writer: () => Pick<FencedBatchWriter, 'put'>
}

/** Runs of a round that are listed in its log line; a large job places thousands at once. */
const MAX_LOGGED_RUNS = 100

/** Writes what changed in the progress of jobs. @public */
export class ProgressRecorder {
  readonly #options: ProgressRecorderOptions
  readonly #heldJobs = new Set<JobId>()

  /** @param options - the service and its writer */
  constructor (options: ProgressRecorderOptions) {
    this.#options = options
  }

  /**
   * Schedules the progress of a job to be written.
   *
   * @param job - the job
   * @param tasks - the tasks that changed, all of them if left out
   * @param isUrgent - whether something waits for it
   */
  save (job: Job, tasks?: readonly Task[], isUrgent = hasEnded(job)): void {
    const { service, writer } = this.#options
    const { jobId } = job.spec
    const parts = countParts(job)
    const changed = parts === 0 ? [] : tasks === undefined ? Array.from({ length: parts }, (_, part) => part) : new Set(tasks.map(partOf))
    for (const part of changed) writer().put(progressPartKey(service, jobId, part), () => encodePart(job, part), isUrgent)
    writer().put(progressKey(service, jobId), () => encodeProgress(job), isUrgent)
  }

  /**
   * Saves runs that were placed, and logs them.
   *
   * @param runs - runs of one scheduling round
   * @param version - version of the configuration
   */
  savePlacements (runs: readonly Run[], version: number): void {
    const runsByJob = new Map<Job, Run[]>()
    for (const run of runs) {
      const known = runsByJob.get(run.task.job)
      if (known === undefined) runsByJob.set(run.task.job, [run])
      else known.push(run)
    }
    for (const [job, placed] of runsByJob) {
      const listed = placed.slice(0, MAX_LOGGED_RUNS).map(({ taskKey, runNumber, instanceId }) => `${taskKey}#${runNumber}@${instanceId}`)
      const unlisted = placed.length - listed.length
      this.#options.log.info({ jobId: job.spec.jobId, version, runs: listed, ...(unlisted === 0 ? {} : { unlisted }) }, 'tasks placed')
      this.save(job, placed.map(({ task }) => task), true)
    }
  }

  /**
   * Logs that the store refuses a record. A job that it belongs to is held until the duty has another holder: what it starts could not be recorded.
   *
   * @param key - key of the record
   * @param chars - its length
   * @param error - the answer of the store
   */
  handleRefusal (key: string, chars: number, error: PlatformError | undefined): void {
    const { service, log } = this.#options
    const prefix = progressPrefix(service)
    const [jobId] = key.startsWith(prefix) ? key.slice(prefix.length).split('/') : []
    if (jobId !== undefined) this.#heldJobs.add(jobId as JobId)
    log.warn({ service, key, jobId, chars, error }, 'record left out: the store refuses it')
  }

  /**
   * Holds a job until the duty has another holder, so that it keeps no others from being placed.
   *
   * @param job - a job whose placement has failed
   * @param error - why
   */
  hold ({ spec: { jobId, queue } }: Job, error: unknown): void {
    this.#heldJobs.add(jobId)
    this.#options.log.warn({ service: this.#options.service, jobId, queue, error: error instanceof Error ? error.stack : String(error) }, 'job set aside: its placement has failed')
  }

  /** @param job - a job @returns whether it may start anything; not if the store has refused one of its records or its placement has failed */
  canRecord (job: Job): boolean {
    return !this.#heldJobs.has(job.spec.jobId)
  }

  /** Removes all records of a job. @param job - an ended job */
  remove (job: Job): void {
    const { service, writer } = this.#options
    const { jobId } = job.spec
    const parts = Array.from({ length: countParts(job) }, (_, part) => progressPartKey(service, jobId, part))
    for (const key of [...recordKeysOf(service, jobId), ...parts]) writer().put(key, () => undefined)
  }
}
