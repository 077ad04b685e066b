/**
 * Has the holder of a service start a job that a caller was told to be accepted under a version which the holder has not heard of, and asks the holder for
 * counts, states and refusals right after, while it still lags.
 *
 * @module
 */
import { delay } from '@quillscale/utils'
import { encodeSubmission, type FleetRunRecord } from '@quillscale/platform-fleet'
import type { CallHost } from './CallHost.js'
import { createJobView } from './createJobView.js'
import type { EntryProcess } from './EntryProcess.js'
import type { JobView, LagAnswer } from './History.js'
import { LEAVING, RETURNING } from './LagContent.js'
import { LASTING_KEY, ROTATING_ACCOUNT } from './Rotations.js'
import { TASK_CPU_MILLIS } from './SoakAccounts.js'
import { SERVICES, type SoakEnvironment } from './SoakEnvironment.js'

/** A question to the holder, and the answers that only a version before the job's allows. */
interface Question { readonly name: string, readonly path: string, readonly key: string, readonly outdatedStatuses: readonly number[] }

const IDLE_GAP_MS = 50
const POLL_GAP_MS = 10
/** Time for hosts to learn of a version, or for the submissions in progress to end. */
const STEP_TIMEOUT_MS = 1000
/** Time from the first submission of the job to its scheduled start. A host whose clock is ahead starts it earlier by that lead. */
const START_DELAY_MS = 1100
const MAX_CLOCK_LEAD_MS = 450
const START_TIMEOUT_MS = START_DELAY_MS + STEP_TIMEOUT_MS
/** Bound as at the users' sites, after a worker saw the start; questions are asked for this long from then on. */
const ROLLBACK_SLACK_MS = 250
const QUESTIONS_MS = 300
const TASK_MS = 30
const OK = 200
const UNAUTHORIZED = 401
const NOT_FOUND = 404

/** Makes the meetings that faults ask for, one after the other. @public */
export class LagProbe {
  /** What lagging holders answered after they had started the job. */
  readonly answers: LagAnswer[] = []
  /** How often a lagging holder was asked after a start. */
  meetings = 0
  readonly #environment: SoakEnvironment
  readonly #call: CallHost
  readonly #addJob: (job: JobView, path: string) => void
  #nextJobNumber = 1

  /**
   * @param environment - the hosts to call and the configuration
   * @param call - sends a request
   * @param addJob - called with the job before it is submitted, and with its path
   */
  constructor (environment: SoakEnvironment, call: CallHost, addJob: (job: JobView, path: string) => void) {
    this.#environment = environment
    this.#call = call
    this.#addJob = addJob
  }

  /** Makes meetings until aborted. @param signal - ends them */
  async run (signal: AbortSignal): Promise<void> {
    const environment = this.#environment
    while (await delay(IDLE_GAP_MS, signal)) {
      if (environment.remainingLagProbes === 0) continue
      environment.remainingLagProbes--
      const holder = environment.holderOf(SERVICES[0])
      if (holder === undefined) continue
      environment.avoidedHost = holder
      await this.#meet(holder)
      environment.avoidedHost = undefined
    }
  }

  async #meet (holder: EntryProcess): Promise<void> {
    const environment = this.#environment
    const other = environment.hosts.find((host) => host !== holder)
    if (other === undefined) return
    const ends = holder.ends.length
    await environment.setLagContent([RETURNING, LEAVING])
    if (!await this.#isAnswered(holder, RETURNING.path, LASTING_KEY, OK)) return
    const job = this.#createJob()
    if (!await this.#submit(other, job)) return
    await environment.setLagContent([LEAVING])
    if (!await this.#isAnswered(holder, RETURNING.path, LASTING_KEY, NOT_FOUND)) return
    if (!await until(() => environment.submissionsInFlight === 0, STEP_TIMEOUT_MS)) return
    const restore = environment.silenceConfiguration()
    await environment.setLagContent([RETURNING])
    if (await this.#submit(other, job)) await this.#askAfterStart(holder, job, ends)
    restore()
  }

  /** Asks the holder from the time on at which a worker has seen the start that it ordered. */
  async #askAfterStart (holder: EntryProcess, job: JobView, ends: number): Promise<void> {
    const environment = this.#environment
    let run: FleetRunRecord | undefined
    await until(() => (run = environment.fleet.runs.find(({ taskKey }) => taskKey.startsWith(job.jobId))) !== undefined, START_TIMEOUT_MS)
    if (run === undefined || environment.hostOfToken(run.fencingToken) !== holder) return
    const { startedMs } = run
    while (environment.clock.monotonicMs() <= startedMs + ROLLBACK_SLACK_MS) await delay(1)
    const questions: readonly Question[] = [
      { name: 'a count of a queue that is gone', path: LEAVING.path, key: LASTING_KEY, outdatedStatuses: [OK] },
      { name: 'a count of a queue that is back', path: RETURNING.path, key: LASTING_KEY, outdatedStatuses: [NOT_FOUND] },
      { name: 'a state by a key that is gone', path: `/${SERVICES[0]}/${job.jobId}`, key: LEAVING.key, outdatedStatuses: [OK] },
      { name: 'a state by a key that is back', path: `/${SERVICES[0]}/${job.jobId}`, key: RETURNING.key, outdatedStatuses: [UNAUTHORIZED] }
    ]
    for (let isFirst = true; isFirst || environment.clock.monotonicMs() < startedMs + ROLLBACK_SLACK_MS + QUESTIONS_MS; isFirst = false) {
      const answered = await Promise.all(questions.map((question) => this.#ask(holder, question, startedMs, ends)))
      if (isFirst && answered.includes(true)) this.meetings++
    }
  }

  /** Resolves with whether the process that started the job has answered. */
  async #ask (holder: EntryProcess, { name, path, key, outdatedStatuses }: Question, startedMs: number, ends: number): Promise<boolean> {
    const sentMs = this.#environment.clock.monotonicMs()
    const { outcome } = await this.#call(holder, 'GET', path, key)
    if (outcome.kind !== 'answer' || holder.ends.length !== ends) return false
    const { status } = outcome
    this.answers.push({ hostName: holder.hostSettings.hostName, name, startedMs, sentMs, status, isOutdated: outdatedStatuses.includes(status) })
    return true
  }

  #createJob (): JobView {
    const job = createJobView({
      jobId: `1a9${(this.#nextJobNumber++).toString(16).padStart(13, '0')}`,
      steps: [{ taskCount: 1, dependsOn: [], isLasting: false, maxAway: undefined }],
      account: ROTATING_ACCOUNT,
      crashesWorkers: false,
      sentToExtraQueueMs: undefined,
      startsAfterMs: this.#environment.clock.monotonicMs() + START_DELAY_MS - MAX_CLOCK_LEAD_MS,
      submitted: 'unknown'
    })
    this.#addJob(job, `/${SERVICES[0]}/${job.jobId}`)
    return job
  }

  /** Submits the job, or sends it again, by the key and to the queue that come back. Resolves with whether it was accepted before it may start. */
  async #submit (host: EntryProcess, job: JobView): Promise<boolean> {
    const { clock } = this.#environment
    const { startsAfterMs = 0, jobId, steps } = job
    const firstRunMs = Date.now() + startsAfterMs + MAX_CLOCK_LEAD_MS - clock.monotonicMs()
    const body = encodeSubmission(JSON.stringify({ runMs: TASK_MS }), steps, TASK_CPU_MILLIS, firstRunMs)
    while (clock.monotonicMs() < startsAfterMs) {
      const { outcome } = await this.#call(host, 'POST', `${RETURNING.path}${jobId}`, RETURNING.key, body)
      if (outcome.kind === 'answer' && outcome.status === OK) {
        job.submitted = 'accepted'
        job.acceptedMs ??= clock.monotonicMs()
        return clock.monotonicMs() < startsAfterMs
      }
      await delay(POLL_GAP_MS)
    }
    return false
  }

  #isAnswered (host: EntryProcess, path: string, key: string, status: number): Promise<boolean> {
    return until(async () => {
      const { outcome } = await this.#call(host, 'GET', path, key)
      return outcome.kind === 'answer' && outcome.status === status
    }, STEP_TIMEOUT_MS)
  }
}

/** Polls until a condition holds or time runs out, and resolves with whether it held. */
async function until (holds: () => boolean | Promise<boolean>, timeoutMs: number): Promise<boolean> {
  const untilMs = performance.now() + timeoutMs
  while (!await holds()) {
    if (performance.now() > untilMs) return false
    await delay(POLL_GAP_MS)
  }
  return true
}
