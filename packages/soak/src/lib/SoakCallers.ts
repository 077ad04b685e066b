/**
 * Callers of one run: they hand jobs in, ask for them, cancel some, and note what they were told.
 *
 * @module
 */
import { setMaxListeners } from 'node:events'
import { Agent } from 'node:http'
import { delay, type SeededRandom } from '@quillscale/utils'
import { callEntryHost, decodeJobState, encodeSubmission, type CallerStep, type CallOutcome } from '@quillscale/platform-fleet'
import type { EntryProcess } from './EntryProcess.js'
import type { BrokenRequest, ConfigurationProbe, JobView, KeyProbe, SubmitView } from './History.js'
import { ACCOUNTS, APPLY_MS, TASK_CPU_MILLIS, type SoakAccount } from './SoakAccounts.js'
import { EXTRA_PATH, QUEUE_HOST, SERVICES, type SoakWorld } from './SoakWorld.js'

/** The size and mix of the load: enough that every fault meets jobs in each state, little enough for one machine. */
const WAIT_MS = 3000
const TRIES = 5
const MEAN_GAP_MS = 150
const CANCEL_SHARE = 0.12
const QUESTION_SHARE = 0.5
const LEAST_TASK_MS = 20
const MOST_TASK_MS = 400
const MOST_TASKS = 3
/** Tasks that end their worker do so this soon after their start. */
const CRASH_MS = 10
const ONE_STEP_SHARE = 0.5
const LASTING_TASKS = 3
const PROBE_MS = 250
/** A host counts as undisturbed after this. From the users' sites. */
const CALM_MS = 3000
const RETRY_BROKEN_MS = 200
const MS_PER_S = 1000
const FINAL_STATES: ReadonlySet<string> = new Set(['succeeded', 'failed', 'cancelled'])

interface Asked { readonly host: EntryProcess, readonly outcome: CallOutcome }

/** The callers. @public */
export class SoakCallers {
  readonly jobs: JobView[] = []
  readonly broken: BrokenRequest[] = []
  readonly probes: ConfigurationProbe[] = []
  readonly keyProbes: KeyProbe[] = []
  readonly #world: SoakWorld
  readonly #random: SeededRandom
  /** Connections are kept open until their process is gone. */
  readonly #agent = new Agent({ keepAlive: true })
  readonly #stop = new AbortController()
  readonly #under: Array<Promise<void>> = []
  /** Of each job, by its id. */
  readonly #paths = new Map<string, string>()
  #nextJob = 1

  /** @param world - where they call @param random - of the seed */
  constructor (world: SoakWorld, random: SeededRandom) {
    this.#world = world
    this.#random = random
    // Many waits end with it.
    setMaxListeners(0, this.#stop.signal)
  }

  /** Hands in the lasting jobs, then others, until stopped. */
  async run (): Promise<void> {
    for (const service of SERVICES) this.#begin(service, [{ taskCount: LASTING_TASKS, dependsOn: [], isLasting: true, maxAway: 1 }], 0)
    this.#under.push(this.#probeForever(), this.#probeKeysForever())
    while (await delay(this.#random.exponentialMs(MEAN_GAP_MS), this.#stop.signal)) this.#begin(this.#random.pick(SERVICES), this.#drawSteps(), this.#drawMs())
  }

  /** No new jobs; waits for what is under way. */
  async stop (): Promise<void> {
    this.#stop.abort()
    await Promise.all(this.#under)
  }

  /** Asks for every accepted job until its state is final. @param timeoutMs - for all together */
  async settle (timeoutMs: number): Promise<void> {
    const untilMs = this.#nowMs() + timeoutMs
    await Promise.all(this.jobs.filter(({ submitted }) => submitted === 'accepted').map(async (job) => {
      const goal = job.steps[0]?.isLasting === true ? new Set(['running']) : FINAL_STATES
      while (this.#nowMs() < untilMs && !goal.has(job.finalState)) {
        const { outcome } = await this.#ask('GET', job)
        if (outcome.kind === 'answer' && outcome.status === 200) job.finalState = decodeJobState(outcome.body)
        if (outcome.kind === 'answer' && outcome.status === 410) job.finalState = 'unknown'
        await delay(PROBE_MS)
      }
    }))
    this.#agent.destroy()
  }

  #nowMs (): number {
    return this.#world.clock.monotonicMs()
  }

  #drawSteps (): CallerStep[] {
    const first: CallerStep = { taskCount: 1 + this.#random.integer(MOST_TASKS), dependsOn: [], isLasting: false, maxAway: undefined }
    return this.#random.next() < ONE_STEP_SHARE ? [first] : [first, { ...first, taskCount: 1 + this.#random.integer(MOST_TASKS), dependsOn: [0] }]
  }

  #drawMs (): number {
    return LEAST_TASK_MS + this.#random.integer(MOST_TASK_MS)
  }

  #begin (service: string, steps: readonly CallerStep[], runMs: number): void {
    const jobId = (this.#nextJob++).toString(16).padStart(16, '0')
    const crashesWorkers = runMs > 0 && this.#world.crashingJobs > 0
    if (crashesWorkers) this.#world.crashingJobs--
    // Lasting jobs and those that crash workers would fill the limit for long.
    const account = runMs > 0 && !crashesWorkers && this.#nextJob % 2 === 0 ? ACCOUNTS[0] : ACCOUNTS[1]
    const job: JobView = {
      jobId, steps, account, crashesWorkers, submitted: 'unknown', acceptedMs: undefined, cancelAcknowledgedMs: undefined, isCancelSent: false, unknownAtMs: [], finalState: ''
    }
    this.jobs.push(job)
    this.#paths.set(jobId, `/${service}/${jobId}`)
    const command = crashesWorkers ? { runMs, crashesAfterMs: CRASH_MS } : { runMs }
    this.#under.push(this.#follow(job, encodeSubmission(JSON.stringify(command), steps, TASK_CPU_MILLIS)))
  }

  async #follow (job: JobView, body: unknown): Promise<void> {
    const isCancelled = job.steps[0]?.isLasting !== true && this.#random.next() < CANCEL_SHARE
    const isAsked = this.#random.next() < QUESTION_SHARE
    job.submitted = await this.#submit(job, body)
    if (job.submitted !== 'accepted') return
    job.acceptedMs = this.#nowMs()
    if (isCancelled) await this.#cancel(job)
    if (!isAsked) return
    await delay(CALM_MS + WAIT_MS, this.#stop.signal)
    const sentMs = this.#nowMs()
    const { outcome } = await this.#ask('GET', job)
    if (outcome.kind === 'answer' && outcome.status === 410) job.unknownAtMs.push(sentMs)
  }

  /** Refused each time is refused; one answer that never came, or was uncertain, makes it unknown until it is accepted. */
  async #submit (job: JobView, body: unknown): Promise<SubmitView> {
    let isUncertain = false
    for (let tries = 0; tries < TRIES; tries++) {
      const { outcome } = await this.#ask('POST', job, body)
      if (outcome.kind === 'answer' && outcome.status === 200) return 'accepted'
      const isRefused = outcome.kind === 'not-connected' || (outcome.kind === 'answer' && [401, 404, 429, 503].includes(outcome.status))
      if (!isRefused) isUncertain = true
      const pauseMs = outcome.kind === 'answer' ? (outcome.retryAfterS ?? 0) * MS_PER_S : RETRY_BROKEN_MS
      await delay(pauseMs)
    }
    return isUncertain ? 'unknown' : 'refused'
  }

  async #cancel (job: JobView): Promise<void> {
    await delay(this.#random.next() * MS_PER_S)
    job.isCancelSent = true
    for (let tries = 0; tries < TRIES; tries++) {
      const { outcome } = await this.#ask('DELETE', job)
      if (outcome.kind === 'answer' && outcome.status === 200) {
        job.cancelAcknowledgedMs = this.#nowMs()
        return
      }
      await delay(RETRY_BROKEN_MS)
    }
  }

  async #ask (method: 'POST' | 'GET' | 'DELETE', job: JobView, body?: unknown): Promise<Asked> {
    return await this.#call(this.#random.pick(this.#world.hosts), method, this.#paths.get(job.jobId) ?? '', this.#keyOf(job.account), body)
  }

  #keyOf (account: SoakAccount): string {
    return this.#world.accounts.keyOf(account, this.#nowMs())
  }

  async #call (host: EntryProcess, method: 'POST' | 'GET' | 'DELETE', path: string, key: string, body?: unknown): Promise<Asked> {
    const sentMs = this.#nowMs()
    const wasCalm = this.#world.isCalm(host, CALM_MS)
    const outcome = await callEntryHost({ address: host.place.ownAddress, agent: this.#agent, method, host: QUEUE_HOST, path, key, body, waitMs: WAIT_MS })
    const isPlanned = host.stoppingSinceMs !== undefined || host.ends.some(({ signal, atMs }) => signal === 'SIGTERM' && atMs > sentMs)
    const isCalm = wasCalm && this.#world.isCalm(host, CALM_MS)
    if (outcome.kind === 'broken' && isPlanned && isCalm) this.broken.push({ hostName: host.place.hostName, sentMs, brokenMs: this.#nowMs() })
    return { host, outcome }
  }

  async #probeForever (): Promise<void> {
    while (await delay(PROBE_MS, this.#stop.signal)) {
      const host = this.#random.pick(this.#world.hosts)
      const sentMs = this.#nowMs()
      const wasCalm = this.#world.isCalm(host, CALM_MS)
      const { outcome } = await this.#call(host, 'GET', EXTRA_PATH, this.#keyOf(ACCOUNTS[1]))
      if (!wasCalm || !this.#world.isCalm(host, CALM_MS) || outcome.kind !== 'answer') continue
      const doneMs = this.#nowMs()
      const lately = this.#world.extraChanges.filter(({ atMs }, index, all) => atMs <= doneMs && (all[index + 1]?.atMs ?? Infinity) > sentMs - APPLY_MS)
      const mayExist = lately.some(({ exists }) => exists)
      const mayBeMissing = lately.some(({ exists }) => !exists)
      this.probes.push({ hostName: host.place.hostName, sentMs, status: outcome.status, mayExist, mayBeMissing })
    }
  }

  /** By turns with a key in force, with the one that was taken away last, and with one that nobody had. */
  async #probeKeysForever (): Promise<void> {
    const { accounts, hosts } = this.#world
    for (let probe = 0; await delay(PROBE_MS, this.#stop.signal); probe++) {
      const host = hosts[probe % hosts.length]
      if (host === undefined) return
      const sentMs = this.#nowMs()
      const key = [this.#keyOf(ACCOUNTS[1]), accounts.droppedKey(sentMs), 'nobody-key'][probe % 3] ?? ''
      const wasCalm = this.#world.isCalm(host, CALM_MS)
      const { outcome } = await this.#call(host, 'GET', `/${SERVICES[0]}/`, key)
      if (!wasCalm || !this.#world.isCalm(host, CALM_MS) || outcome.kind !== 'answer') continue
      this.keyProbes.push({ hostName: host.place.hostName, sentMs, status: outcome.status, ...accounts.standing(key, sentMs, this.#nowMs()) })
    }
  }
}
