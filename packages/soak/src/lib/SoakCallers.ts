/**
 * Callers of one run: submit jobs, query their states, cancel some, and record the answers.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { Agent } from 'node:http'
import { delay, type SeededRandom } from '@quillscale/utils'
import { callEntryHost, decodeJobState, encodeSubmission, type CallerStep, type CallOutcome } from '@quillscale/platform-fleet'
import { createJobView } from './createJobView.js'
import type { EntryProcess } from './EntryProcess.js'
import type { BrokenRequest, ConfigurationProbe, JobView, KeyProbe, QueueLookup, RotatedCall, SubmitOutcome } from './History.js'
import { LagProbe } from './LagProbe.js'
import { RotationCallers } from './RotationCallers.js'
import { LASTING_KEY, ROTATING_ACCOUNT } from './Rotations.js'
import { ACCOUNTS, APPLY_MS, TASK_CPU_MILLIS, type SoakAccount } from './SoakAccounts.js'
import { EXTRA_QUEUE_PATH, QUEUE_HOST, SERVICES, type SoakEnvironment } from './SoakEnvironment.js'

/** The size and mix of the load: enough that every fault affects jobs in each state, and little enough for one machine. */
const CALL_TIMEOUT_MS = 3000
const MAX_ATTEMPTS = 5
const JOB_GAP_MS = 150
const CANCEL_SHARE = 0.12
const STATUS_CHECK_SHARE = 0.5
const MIN_TASK_MS = 20
const TASK_MS_SPREAD = 400
const MAX_TASKS_PER_STEP = 3
/** Time after which a crashing task ends its worker. */
const CRASH_DELAY_MS = 10
const ONE_STEP_SHARE = 0.5
const LASTING_TASK_COUNT = 3
const PROBE_INTERVAL_MS = 250
/** While jobs go to a queue that was just added, hosts differ for some hundred milliseconds only. */
const SHORT_PROBE_INTERVAL_MS = 20
/** Time since the last disturbance after which a host counts as undisturbed, as at the users' sites. */
const UNDISTURBED_MS = 3000
const RETRY_PAUSE_MS = 200
const AVOIDANCE_POLL_MS = 20
const RESENDS = 5
const RESEND_PAUSE_MS = 800
const MS_PER_S = 1000
const FINAL_STATES: ReadonlySet<string> = new Set(['succeeded', 'failed', 'cancelled'])

interface HostAnswer { readonly host: EntryProcess, readonly outcome: CallOutcome }

/** Generates the load of a run and probes configuration and keys. @public */
export class SoakCallers {
  readonly jobs: JobView[] = []
  readonly broken: BrokenRequest[] = []
  readonly probes: ConfigurationProbe[] = []
  readonly lookups: QueueLookup[] = []
  readonly keyProbes: KeyProbe[] = []
  readonly #environment: SoakEnvironment
  readonly #random: SeededRandom
  /** Keeps connections open until their process exits. */
  readonly #agent = new Agent({ keepAlive: true })
  readonly #stop = new AbortController()
  readonly #pending: Array<Promise<void>> = []
  readonly #rotationCallers: RotationCallers
  readonly #lagProbe: LagProbe
  /** The request path of each job, by its id. */
  readonly #paths = new Map<string, string>()
  #nextJobNumber = 1

  /**
   * @param environment - the hosts to call and the clock
   * @param random - random numbers drawn from the seed
   * @param rotationRandom - others of the seed, for the calls by replaced keys and queues
   */
  constructor (environment: SoakEnvironment, random: SeededRandom, rotationRandom: SeededRandom) {
    this.#environment = environment
    this.#random = random
    this.#rotationCallers = new RotationCallers(environment, rotationRandom, (...call) => this.#callWhenAllowed(...call), (job) => {
      this.jobs.push(job)
      this.#paths.set(job.jobId, `/${SERVICES[0]}/${job.jobId}`)
    })
    this.#lagProbe = new LagProbe(environment, (...call) => this.#callHost(...call), (job, path) => {
      this.jobs.push(job)
      this.#paths.set(job.jobId, path)
    })
    // Each pending delay adds a listener.
    setMaxListeners(0, this.#stop.signal)
  }

  /** Answers to calls by replaced keys and queues. */
  get rotatedCalls (): readonly RotatedCall[] {
    return this.#rotationCallers.calls
  }

  /** The meetings with lagging holders. */
  get lagProbe (): LagProbe {
    return this.#lagProbe
  }

  /** Submits the lasting jobs, then other jobs until {@link stop} is called. */
  async run (): Promise<void> {
    for (const service of SERVICES) this.#addJob(service, [{ taskCount: LASTING_TASK_COUNT, dependsOn: [], isLasting: true, maxAway: 1 }], 0)
    this.#pending.push(this.#probeConfiguration(), this.#probeKeys(), this.#rotationCallers.run(this.#stop.signal), this.#lagProbe.run(this.#stop.signal))
    while (await delay(this.#random.exponentialMs(JOB_GAP_MS), this.#stop.signal)) this.#addJob(this.#random.pick(SERVICES), this.#drawSteps(), this.#drawMs())
  }

  /** Stops submitting jobs, and waits for the calls in progress. */
  async stop (): Promise<void> {
    this.#stop.abort()
    await Promise.all(this.#pending)
  }

  /** Queries every accepted job until it has reached its expected state. @param timeoutMs - timeout for all jobs together */
  async awaitFinalStates (timeoutMs: number): Promise<void> {
    const untilMs = this.#nowMs() + timeoutMs
    await Promise.all(this.jobs.filter(({ submitted }) => submitted === 'accepted').map(async (job) => {
      const expectedStates = job.steps[0]?.isLasting === true ? new Set(['running']) : FINAL_STATES
      while (this.#nowMs() < untilMs && !expectedStates.has(job.finalState)) {
        const { outcome } = await this.#readState(job)
        if (outcome.kind === 'answer' && outcome.status === 200) job.finalState = decodeJobState(outcome.body)
        if (outcome.kind === 'answer' && outcome.status === 410) job.finalState = 'unknown'
        await delay(PROBE_INTERVAL_MS)
      }
    }))
    // A lasting job that was running may have been given up since.
    await Promise.all(this.jobs.filter(({ steps }) => steps[0]?.isLasting === true).map((job) => this.#readState(job)))
    this.#agent.destroy()
  }

  #nowMs (): number {
    return this.#environment.clock.monotonicMs()
  }

  #drawSteps (): CallerStep[] {
    const first: CallerStep = { taskCount: 1 + this.#random.integer(MAX_TASKS_PER_STEP), dependsOn: [], isLasting: false, maxAway: undefined }
    return this.#random.next() < ONE_STEP_SHARE ? [first] : [first, { ...first, taskCount: 1 + this.#random.integer(MAX_TASKS_PER_STEP), dependsOn: [0] }]
  }

  #drawMs (): number {
    return MIN_TASK_MS + this.#random.integer(TASK_MS_SPREAD)
  }

  #addJob (service: string, steps: readonly CallerStep[], runMs: number): void {
    const jobId = (this.#nextJobNumber++).toString(16).padStart(16, '0')
    const crashesWorkers = runMs > 0 && this.#environment.remainingCrashingJobs > 0
    if (crashesWorkers) this.#environment.remainingCrashingJobs--
    const isForExtraQueue = runMs > 0 && !crashesWorkers && this.#environment.remainingExtraJobs > 0
    if (isForExtraQueue) this.#environment.remainingExtraJobs--
    // Lasting jobs and jobs that crash workers would use up the account's limit for a long time.
    const account = runMs > 0 && !crashesWorkers && this.#nextJobNumber % 2 === 0 ? ACCOUNTS[0] : ACCOUNTS[1]
    const job = createJobView({
      jobId,
      steps,
      account,
      crashesWorkers,
      sentToExtraQueueMs: isForExtraQueue ? this.#nowMs() : undefined,
      submitted: 'unknown'
    })
    this.jobs.push(job)
    // The extra queue may be removed before the job has ended; its service has a permanent queue, by which the job is found too.
    this.#paths.set(jobId, `/${isForExtraQueue ? SERVICES[0] : service}/${jobId}`)
    const command = crashesWorkers ? { runMs, crashesAfterMs: CRASH_DELAY_MS } : { runMs }
    this.#pending.push(this.#trackJob(job, encodeSubmission(JSON.stringify(command), steps, TASK_CPU_MILLIS)))
  }

  async #trackJob (job: JobView, body: unknown): Promise<void> {
    const isCancelled = job.steps[0]?.isLasting !== true && this.#random.next() < CANCEL_SHARE
    const isStatusChecked = this.#random.next() < STATUS_CHECK_SHARE
    job.submitted = await this.#submit(job, body)
    if (job.submitted !== 'accepted') return
    job.acceptedMs = this.#nowMs()
    if (job.sentToExtraQueueMs !== undefined && this.#environment.resendsExtraJobs) this.#pending.push(this.#sendAgain(job, body))
    if (job.steps[0]?.isLasting === true) this.#pending.push(this.#followState(job))
    if (isCancelled) await this.#cancel(job)
    if (!isStatusChecked) return
    await delay(UNDISTURBED_MS + CALL_TIMEOUT_MS, this.#stop.signal)
    const sentMs = this.#nowMs()
    const { outcome } = await this.#readState(job)
    if (outcome.kind === 'answer' && outcome.status === 410) job.unknownAtMs.push(sentMs)
  }

  /** Asks all hosts in turn for the state of a job until {@link stop} is called. */
  async #followState (job: JobView): Promise<void> {
    for (let turn = 0; await delay(PROBE_INTERVAL_MS, this.#stop.signal); turn++) {
      const { callableHosts } = this.#environment
      await this.#readState(job, callableHosts[turn % callableHosts.length])
    }
  }

  async #readState (job: JobView, host = this.#random.pick(this.#environment.callableHosts)): Promise<HostAnswer> {
    const answer = await this.#callHost(host, 'GET', this.#paths.get(job.jobId) ?? '', this.#currentKey(job.account))
    if (answer.outcome.kind === 'answer' && decodeJobState(answer.outcome.body) === 'failed') job.failedAtMs.push(this.#nowMs())
    return answer
  }

  /** Returns `refused` only if every attempt was certainly refused: after one missing or uncertain answer the job may have been accepted. */
  async #submit (job: JobView, body: unknown): Promise<SubmitOutcome> {
    let isUncertain = false
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const { outcome } = await this.#callAnyHost('POST', job, body, job.sentToExtraQueueMs === undefined ? undefined : `${EXTRA_QUEUE_PATH}${job.jobId}`)
      if (outcome.kind === 'answer' && outcome.status === 200) return 'accepted'
      const isRefused = outcome.kind === 'not-connected' || (outcome.kind === 'answer' && [401, 404, 429, 503].includes(outcome.status))
      if (!isRefused) isUncertain = true
      const pauseMs = outcome.kind === 'answer' ? (outcome.retryAfterS ?? 0) * MS_PER_S : RETRY_PAUSE_MS
      await delay(pauseMs)
    }
    return isUncertain ? 'unknown' : 'refused'
  }

  /** Sends an accepted job again some times, as after an answer that was lost on its way; it remains one job, whatever its queue's service is by then. */
  async #sendAgain (job: JobView, body: unknown): Promise<void> {
    for (let tries = 0; tries < RESENDS && await delay(RESEND_PAUSE_MS, this.#stop.signal); tries++) {
      await this.#callAnyHost('POST', job, body, `${EXTRA_QUEUE_PATH}${job.jobId}`)
    }
  }

  async #cancel (job: JobView): Promise<void> {
    await delay(this.#random.next() * MS_PER_S)
    job.isCancelSent = true
    for (let tries = 0; tries < MAX_ATTEMPTS; tries++) {
      const { outcome } = await this.#callAnyHost('DELETE', job)
      if (outcome.kind === 'answer' && outcome.status === 200) {
        job.cancelAcknowledgedMs = this.#nowMs()
        return
      }
      await delay(RETRY_PAUSE_MS)
    }
  }

  async #callAnyHost (method: 'POST' | 'DELETE', job: JobView, body?: unknown, path = this.#paths.get(job.jobId) ?? ''): Promise<HostAnswer> {
    return await this.#callWhenAllowed(this.#random.pick(this.#environment.callableHosts), method, path, this.#currentKey(job.account), body)
  }

  #currentKey (account: SoakAccount): string {
    if (account === ROTATING_ACCOUNT) return LASTING_KEY
    return this.#environment.accounts.currentKey(account, this.#nowMs())
  }

  /** Like {@link SoakCallers.#callHost}, but submits nothing while a host is avoided. */
  async #callWhenAllowed (host: EntryProcess, method: 'POST' | 'GET' | 'DELETE', path: string, key: string, body?: unknown): Promise<HostAnswer> {
    const environment = this.#environment
    if (method !== 'POST') return await this.#callHost(host, method, path, key, body)
    while (environment.avoidedHost !== undefined) await delay(AVOIDANCE_POLL_MS)
    environment.submissionsInFlight++
    try {
      return await this.#callHost(host, method, path, key, body)
    } finally {
      environment.submissionsInFlight--
    }
  }

  async #callHost (host: EntryProcess, method: 'POST' | 'GET' | 'DELETE', path: string, key: string, body?: unknown): Promise<HostAnswer> {
    const sentMs = this.#nowMs()
    const wasUndisturbed = this.#environment.isUndisturbed(host, UNDISTURBED_MS)
    const outcome = await callEntryHost({
      address: host.hostSettings.ownAddress, agent: this.#agent, method, host: QUEUE_HOST, path, key, body, waitMs: CALL_TIMEOUT_MS
    })
    const isPlanned = host.stoppingSinceMs !== undefined || host.ends.some(({ signal, atMs }) => signal === 'SIGTERM' && atMs > sentMs)
    const isUndisturbed = wasUndisturbed && this.#environment.isUndisturbed(host, UNDISTURBED_MS)
    if (outcome.kind === 'broken' && isPlanned && isUndisturbed) this.broken.push({ hostName: host.hostSettings.hostName, sentMs, brokenMs: this.#nowMs() })
    return { host, outcome }
  }

  async #probeConfiguration (): Promise<void> {
    while (await delay(this.#environment.remainingExtraJobs > 0 ? SHORT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS, this.#stop.signal)) {
      const host = this.#random.pick(this.#environment.callableHosts)
      const sentMs = this.#nowMs()
      const wasUndisturbed = this.#environment.isUndisturbed(host, UNDISTURBED_MS)
      const { outcome } = await this.#callHost(host, 'GET', EXTRA_QUEUE_PATH, this.#currentKey(ACCOUNTS[1]))
      const doneMs = this.#nowMs()
      if (outcome.kind === 'answer') this.lookups.push({ hostName: host.hostSettings.hostName, sentMs, answeredMs: doneMs, status: outcome.status })
      if (!wasUndisturbed || !this.#environment.isUndisturbed(host, UNDISTURBED_MS) || outcome.kind !== 'answer') continue
      const possiblyInForce = this.#environment.extraQueueChanges.filter(({ atMs }, index, all) =>
        atMs <= doneMs && (all[index + 1]?.atMs ?? Infinity) > sentMs - APPLY_MS)
      const mayExist = possiblyInForce.some(({ exists }) => exists)
      const mayBeMissing = possiblyInForce.some(({ exists }) => !exists)
      this.probes.push({ hostName: host.hostSettings.hostName, sentMs, status: outcome.status, mayExist, mayBeMissing })
    }
  }

  /** Alternates between a valid key, the most recently revoked key, and a key that never existed. */
  async #probeKeys (): Promise<void> {
    const { accounts } = this.#environment
    for (let probe = 0; await delay(PROBE_INTERVAL_MS, this.#stop.signal); probe++) {
      const { callableHosts: hosts } = this.#environment
      const host = hosts[probe % hosts.length]
      if (host === undefined) return
      const sentMs = this.#nowMs()
      const key = [this.#currentKey(ACCOUNTS[1]), accounts.lastRevokedKey(sentMs), 'nobody-key'][probe % 3] ?? ''
      const wasUndisturbed = this.#environment.isUndisturbed(host, UNDISTURBED_MS)
      const { outcome } = await this.#callHost(host, 'GET', `/${SERVICES[0]}/`, key)
      if (!wasUndisturbed || !this.#environment.isUndisturbed(host, UNDISTURBED_MS) || outcome.kind !== 'answer') continue
      this.keyProbes.push({ hostName: host.hostSettings.hostName, sentMs, status: outcome.status, ...accounts.expectedAcceptance(key, sentMs, this.#nowMs()) })
    }
  }
}
