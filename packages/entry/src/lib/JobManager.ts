/**
 * Answers what callers ask of jobs, here or at the holder of a zone's lease, and keeps this zone's jobs while this entry
 * host is that holder; {@link JobRunner} runs them.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { QuillscaleError, type AvailabilityZone, type EntryHostId, type ErrorKind, type HostId } from '@quillscale/model'
import type { KeyValueStore } from '@quillscale/ports'
import { MAX_JOBS_PER_ZONE, findUnschedulableReason, isEnded, isPlaced, jobSubmissionSchema, type Job, type JobSubmission } from '@quillscale/jobs'
import type { PeerMesh } from '@quillscale/membership'
import { JOB_TOPICS, holderAnswerSchema, jobIdSchema, submitSchema, viewOf, type JobView } from './jobMessages.js'
import { JobRunner, type JobRunnerOptions } from './JobRunner.js'
import { JobStore, type CommitResult } from './JobStore.js'
import type { LeaseHolder } from '@quillscale/leases'
import { zoneToken } from './zoneToken.js'

/** What it works on. @public */
export interface JobManagerOptions extends JobRunnerOptions {
  readonly zone: AvailabilityZone
  readonly store: KeyValueStore
  readonly lease: LeaseHolder
  readonly mesh: PeerMesh
  /** Reachable holders of zones' leases, the own zone's first. */
  readonly holders: () => EntryHostId[]
}

const REQUEST_TIMEOUT_MS = 5000

function notWritten (result: CommitResult): QuillscaleError {
  const outcome = result === 'unknown' ? 'unknown' : 'not-run'
  return new QuillscaleError('platform-unavailable', 'the platform’s service did not take the change', { outcome, retryAfterMs: 1000 })
}

/** Jobs of this zone. @public */
export class JobManager {
  readonly #options: JobManagerOptions
  readonly #jobs: JobStore
  readonly #runner: JobRunner
  #isTicking = false

  /** @param options - what it works on */
  constructor (options: JobManagerOptions) {
    this.#options = options
    this.#jobs = new JobStore(options.store, options.zone, () => this.#token(), () => this.#runner.noteTakeOver())
    this.#runner = new JobRunner(options, this.#jobs, () => this.#token())
  }

  /** Whether jobs wait or run here, so that the next round should come soon. */
  get isBusy (): boolean {
    return this.#token() !== undefined && Object.values(this.#jobs.jobs).some((job) => !isEnded(job))
  }

  /** @param hostId - a host @returns whether a job of this zone's holder runs there */
  hasJobsOn (hostId: HostId): boolean {
    return Object.values(this.#jobs.jobs).some((job) => isPlaced(job) && job.hostId === hostId)
  }

  /**
   * Submits a job; the answer comes once it is written.
   *
   * @param body - parsed JSON
   * @param key - the caller's Idempotency-Key: the same key is the same job
   * @returns the job
   * @throws QuillscaleError
   */
  async submit (body: unknown, key: string | undefined): Promise<JobView> {
    const parsed = jobSubmissionSchema.safeParse(body)
    if (!parsed.success) {
      const issue = parsed.error.issues[0]
      throw new QuillscaleError('malformed-request', `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`)
    }
    const request = { jobId: key ?? randomUUID(), submission: parsed.data }
    return this.#askHolder(JOB_TOPICS.submit, request, (body) => this.answerSubmit(body), [this.#options.holders()[0]])
  }

  /** @returns the jobs of this zone, at its holder */
  list (): JobView[] {
    return Object.values(this.#jobs.jobs).map(viewOf)
  }

  /** @param jobId - a job @returns it @throws QuillscaleError `no-such-job` */
  async get (jobId: string): Promise<JobView> {
    return this.#askHolder(JOB_TOPICS.get, { jobId }, (request) => this.answerGet(request), this.#options.holders())
  }

  /** @param jobId - a job that must not start any more, or must stop @returns it once that is written @throws QuillscaleError */
  async cancel (jobId: string): Promise<JobView> {
    return this.#askHolder(JOB_TOPICS.cancel, { jobId }, (request) => this.answerCancel(request), this.#options.holders())
  }

  /** @param body - a submission, here at the holder @returns the job or a refusal */
  async answerSubmit (body: unknown): Promise<unknown> {
    const { jobId, submission } = submitSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      const known = this.#jobs.jobs[jobId]
      if (known !== undefined) return known
      this.#refuseImpossible(submission)
      const nowMs = this.#options.clock.wallMs()
      const job: Job = { ...submission, jobId, state: 'queued', submittedMs: nowMs, sinceMs: nowMs, attempt: 0, failedOn: [], lostRuns: 0 }
      const result = await this.#jobs.commit((jobs) => { if (!jobs.has(jobId)) jobs.set(jobId, job) })
      if (result !== 'committed') throw notWritten(result)
      void this.tick()
      return this.#jobs.jobs[jobId] ?? job
    })
  }

  /** @param body - a question, here at a holder @returns the job or a refusal */
  async answerGet (body: unknown): Promise<unknown> {
    const { jobId } = jobIdSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      return this.#jobs.find(jobId)
    })
  }

  /** @param body - a cancellation, here at a holder @returns the job or a refusal */
  async answerCancel (body: unknown): Promise<unknown> {
    const { jobId } = jobIdSchema.parse(body)
    return this.#answer(async () => {
      await this.#mustHold()
      const before = this.#jobs.find(jobId)
      const nowMs = this.#options.clock.wallMs()
      // Cancellations that arrive together are one write; a start is written first too, so none can slip in between.
      const result = await this.#jobs.commit((jobs) => {
        const job = jobs.get(jobId)
        if (job !== undefined && !isEnded(job)) jobs.set(jobId, { ...job, state: 'cancelled', sinceMs: nowMs, reason: 'cancelled' })
      })
      if (result !== 'committed') throw notWritten(result)
      if (isPlaced(before) && before.hostId !== undefined) void this.#runner.stopTask(before)
      return this.#jobs.find(jobId)
    })
  }

  /** Does one round; does nothing without the lease. */
  async tick (): Promise<void> {
    if (this.#isTicking) return
    this.#isTicking = true
    try {
      if (this.#token() === undefined) {
        this.#jobs.unload()
        return
      }
      if (!this.#jobs.isLoaded && !await this.#jobs.load()) return
      if (Object.keys(this.#jobs.jobs).length === 0) return
      await this.#runner.round()
    } finally {
      this.#isTicking = false
    }
  }

  #token (): number | undefined {
    return zoneToken(this.#options.lease, this.#options.clock)
  }

  async #mustHold (): Promise<void> {
    if (this.#token() === undefined) throw new QuillscaleError('lease-lost', 'the zone has no holder now', { retryAfterMs: 1000 })
    if (!this.#jobs.isLoaded && !await this.#jobs.load()) throw notWritten('not-committed')
  }

  async #answer (act: () => Promise<Job>): Promise<unknown> {
    try {
      return { job: viewOf(await act()) }
    } catch (error) {
      if (error instanceof QuillscaleError) return { refusal: { kind: error.kind, detail: error.message } }
      throw error
    }
  }

  /** Asks holders in turn until one knows; the own process is asked without a message. */
  async #askHolder (
    topic: string, body: unknown, here: (body: unknown) => Promise<unknown>, holders: ReadonlyArray<EntryHostId | undefined>
  ): Promise<JobView> {
    let refusal = new QuillscaleError('lease-lost', 'no zone in reach has a holder now', { retryAfterMs: 1000 })
    for (const holder of holders) {
      if (holder === undefined) continue
      const isHere = !this.#options.mesh.isLinked(holder)
      const asked = isHere ? { ok: true, err: false, val: await here(body) } : await this.#options.mesh.request(holder, topic, body, REQUEST_TIMEOUT_MS)
      const parsed = holderAnswerSchema.safeParse(asked.val)
      if (asked.err || !parsed.success) {
        refusal = new QuillscaleError('platform-unavailable', `no answer from ${holder}`, { outcome: 'unknown', retryAfterMs: 1000 })
        continue
      }
      if ('job' in parsed.data) return parsed.data.job as unknown as JobView
      refusal = new QuillscaleError(parsed.data.refusal.kind as ErrorKind, parsed.data.refusal.detail)
    }
    throw refusal
  }

  #refuseImpossible (submission: JobSubmission): void {
    const isFull = Object.keys(this.#jobs.jobs).length >= MAX_JOBS_PER_ZONE
    if (isFull) throw new QuillscaleError('overloaded', 'the zone has as many jobs as it can hold', { retryAfterMs: 5000 })
    const quota = this.#options.replica.declarations('team').get(submission.team)?.spec.quotaSlots
    const reason = findUnschedulableReason(submission, this.#runner.workers(), quota)
    if (reason !== undefined) throw new QuillscaleError('job-impossible', reason)
  }
}
