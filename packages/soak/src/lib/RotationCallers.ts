/**
 * Callers whose keys and queues are replaced: submit jobs with a start in the future, send them again by the keys and to the queues of later versions,
 * and probe all hosts by current and replaced ones meanwhile.
 *
 * @module
 */
import { delay, type SeededRandom } from '@quillscale/utils'
import { encodeSubmission, type CallOutcome } from '@quillscale/platform-fleet'
import type { CallHost } from './CallHost.js'
import { createJobView } from './createJobView.js'
import type { JobView, RotatedCall } from './History.js'
import { LASTING_KEY, ROTATING_ACCOUNT } from './Rotations.js'
import { TASK_CPU_MILLIS } from './SoakAccounts.js'
import { SERVICES, type SoakEnvironment } from './SoakEnvironment.js'

/** Time from the first submission of a job to its scheduled start. */
const START_DELAY_MS = 2500
/** No host's wall clock is further ahead than this, unless it has stepped. */
const MAX_CLOCK_LEAD_MS = 450
const RESEND_GAP_MS = 150
const PROBE_GAP_MS = 25
const IDLE_GAP_MS = 100
/** Share of calls by the key or queue that was replaced last. */
const REPLACED_SHARE = 0.3
const BY_QUEUE_SHARE = 0.5
/** Hosts are probed this long after the scheduled start of a job. */
const PROBE_AFTER_START_MS = 2000
const TASK_MS = 30
const OK = 200
const REFUSALS: readonly number[] = [401, 404, 429, 503]

/** Generates the calls by replaced keys and queues, and records their answers. @public */
export class RotationCallers {
  readonly calls: RotatedCall[] = []
  readonly #environment: SoakEnvironment
  readonly #random: SeededRandom
  readonly #call: CallHost
  readonly #addJob: (job: JobView) => void
  readonly #pending: Array<Promise<void>> = []
  #nextJobNumber = 1
  #probeUntilMs = -Infinity

  /**
   * @param environment - the hosts to call and the clock
   * @param random - random numbers drawn from the seed
   * @param call - sends a request
   * @param addJob - called with each job before it is submitted
   */
  constructor (environment: SoakEnvironment, random: SeededRandom, call: CallHost, addJob: (job: JobView) => void) {
    this.#environment = environment
    this.#random = random
    this.#call = call
    this.#addJob = addJob
  }

  /** Submits jobs and probes hosts until aborted, and waits for the calls in progress. @param signal - ends the calls */
  async run (signal: AbortSignal): Promise<void> {
    const environment = this.#environment
    while (await delay(this.#isProbing() ? PROBE_GAP_MS : IDLE_GAP_MS, signal)) {
      if (environment.remainingRotatedJobs > 0) {
        environment.remainingRotatedJobs--
        this.#probeUntilMs = this.#nowMs() + START_DELAY_MS + PROBE_AFTER_START_MS
        this.#pending.push(this.#trackJob(signal))
      }
      if (this.#isProbing()) this.#pending.push(this.#send('GET', '').then(() => {}))
    }
    await Promise.all(this.#pending)
  }

  #isProbing (): boolean {
    return this.#nowMs() < this.#probeUntilMs
  }

  #nowMs (): number {
    return this.#environment.clock.monotonicMs()
  }

  async #trackJob (signal: AbortSignal): Promise<void> {
    const jobId = `e${(this.#nextJobNumber++).toString(16).padStart(15, '0')}`
    const startsAfterMs = this.#nowMs() + START_DELAY_MS - MAX_CLOCK_LEAD_MS
    const steps = [{ taskCount: 1, dependsOn: [], isLasting: false, maxAway: undefined }]
    const job = createJobView({
      jobId,
      steps,
      account: ROTATING_ACCOUNT,
      crashesWorkers: false,
      sentToExtraQueueMs: undefined,
      startsAfterMs,
      submitted: 'refused'
    })
    this.#addJob(job)
    const body = encodeSubmission(JSON.stringify({ runMs: TASK_MS }), steps, TASK_CPU_MILLIS, Date.now() + START_DELAY_MS)
    do {
      const outcome = await this.#send('POST', jobId, body)
      if (outcome.kind === 'answer' && outcome.status === OK) {
        job.submitted = 'accepted'
        job.acceptedMs ??= this.#nowMs()
      } else if (job.submitted === 'refused' && outcome.kind !== 'not-connected' && !(outcome.kind === 'answer' && REFUSALS.includes(outcome.status))) job.submitted = 'unknown'
    } while (this.#nowMs() < startsAfterMs && await delay(RESEND_GAP_MS, signal))
    await delay(MAX_CLOCK_LEAD_MS)
    if (this.#environment.hosts.some(({ hasSteppedClock }) => hasSteppedClock)) job.startsAfterMs = undefined
  }

  /** Calls any host by the current or the last replaced key or queue, and records the answer. */
  async #send (method: 'POST' | 'GET', jobId: string, body?: unknown): Promise<CallOutcome> {
    const { callableHosts, rotations } = this.#environment
    const host = this.#random.pick(callableHosts)
    const replaced = this.#random.next() < REPLACED_SHARE ? rotations.all.at(-2) : undefined
    const rotation = replaced ?? rotations.current
    const isByQueue = this.#random.next() < BY_QUEUE_SHARE
    const sentMs = this.#nowMs()
    const path = isByQueue ? rotation.path : `/${SERVICES[0]}/`
    const { outcome } = await this.#call(host, method, `${path}${jobId}`, isByQueue ? LASTING_KEY : rotation.key, body)
    if (outcome.kind === 'answer') {
      const { hostName } = host.hostSettings
      this.calls.push({ hostName, jobId, isSubmission: method === 'POST', isByQueue, rotation, sentMs, answeredMs: this.#nowMs(), status: outcome.status })
    }
    return outcome
  }
}
