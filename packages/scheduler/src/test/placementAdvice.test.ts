import { expect } from 'chai'
import { Err, Ok, type Result } from '@quillscale/utils'
import type { PlatformError, StepAdvice } from '@quillscale/ports'
import { createJob, jobSpecSchema, type Task, tasksOf } from '@quillscale/policy'
import { PlacementAdviceCache } from '../lib/workers/PlacementAdviceCache.js'
import { testJobId } from '@quillscale/policy/testing'
import { TestLog } from './TestService.js'

const ROUND_MS = 20
const CALL_ROUNDS = 5
const VALID_MS = 3000
const WORKERS_IN_CALL = 30

/** Plays scheduling rounds with an advice service that answers one call at a time, each after some rounds. */
class AdvicePlay {
  nowMs = 1000
  readonly calls: Array<{ readonly step: string, readonly workers: readonly string[], readonly atMs: number }> = []
  readonly cache: PlacementAdviceCache
  /** Steps that wait, the most urgent one first. */
  waiting: Task[] = []
  /** Tickets that the cache returned in the last round, by step. */
  readonly tickets = new Map<string, ReadonlyMap<string, string> | undefined>()
  failsNext = 0
  #answer: { readonly atMs: number, readonly send: () => void } | undefined

  /** @param workers - all workers, best first @param isHealthy - whether a worker may run a step */
  constructor (public workers: readonly string[], readonly isHealthy: (worker: string, step: string) => boolean) {
    const clock = { monotonicMs: () => this.nowMs, wallMs: () => this.nowMs, latestMs: () => this.nowMs }
    this.cache = new PlacementAdviceCache({
      clock, log: new TestLog(), onAdvice: () => {}, advice: { advise: async (step, workers) => await this.#advise(step, workers) }
    })
  }

  async #advise (step: string, workers: readonly string[]): Promise<Result<StepAdvice, PlatformError>> {
    if (this.#answer !== undefined) throw new Error('a second call at once')
    this.calls.push({ step, workers, atMs: this.nowMs })
    return await new Promise((resolve) => {
      const isFailure = this.failsNext-- > 0
      const healthy = workers.filter((worker) => this.isHealthy(worker, step)).map((instanceId) => ({ instanceId, ticket: `${step} on ${instanceId}` }))
      const send = (): void => resolve(isFailure ? Err({ kind: 'unavailable', detail: 'too many calls wait' }) : Ok({ workers: healthy, validMs: VALID_MS }))
      this.#answer = { atMs: this.nowMs + CALL_ROUNDS * ROUND_MS, send }
    })
  }

  addStep (number: number): Task {
    const spec = jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1 }] })
    const task = tasksOf(createJob(spec), 0)[0]?.[0] as Task
    this.waiting.push(task)
    return task
  }

  async rounds (count: number, afterRound: () => void = () => {}): Promise<void> {
    for (let round = 0; round < count; round++) {
      this.nowMs += ROUND_MS
      if (this.#answer !== undefined && this.nowMs >= this.#answer.atMs) {
        const { send } = this.#answer
        this.#answer = undefined
        send()
      }
      await new Promise((resolve) => setImmediate(resolve))
      for (const task of this.waiting) this.tickets.set(task.stepKey, this.cache.ticketsFor(task, this.workers, this.nowMs))
      afterRound()
      await new Promise((resolve) => setImmediate(resolve))
    }
  }

  askedAbout (task: Task): Set<string> {
    return new Set(this.calls.filter(({ step }) => step === task.stepKey).flatMap(({ workers }) => workers))
  }
}

const workersNamed = (count: number): string[] => Array.from({ length: count }, (_, at) => `w${at}`)
const roundsFor = (calls: number): number => (calls + 1) * (CALL_ROUNDS + 1)

describe('placement advice', () => {
  const counts = [31, 37, 240, 1000]
  for (const count of counts) {
    // Guards against advice that is asked for the same workers again and again, none of which may run the step.
    it(`finds the only worker of ${count} that may run a step, though it is the last choice`, async () => {
      const play = new AdvicePlay(workersNamed(count), (worker) => worker === `w${count - 1}`)
      const task = play.addStep(1)
      await play.rounds(roundsFor(Math.ceil(count / WORKERS_IN_CALL)))
      expect([...play.tickets.get(task.stepKey)?.keys() ?? []]).to.deep.equal([`w${count - 1}`])
    })
  }

  it('asks about all other workers while a step with tickets still waits, and keeps the tickets', async () => {
    const play = new AdvicePlay(workersNamed(200), (worker) => Number(worker.slice(1)) % 10 < 5)
    const task = play.addStep(1)
    let roundsWithout = 0
    await play.rounds(300, () => { if (play.calls.length > 1 && (play.tickets.get(task.stepKey)?.size ?? 0) === 0) roundsWithout++ })
    expect(play.askedAbout(task).size).to.equal(200)
    expect(roundsWithout).to.be.at.most(CALL_ROUNDS)
  })

  it('is not asked for again at once if no worker may run a step, but for new workers', async () => {
    const play = new AdvicePlay(workersNamed(60), (worker) => worker === 'new')
    const task = play.addStep(1)
    await play.rounds(400)
    expect(play.calls).to.have.length(2)
    expect(play.tickets.get(task.stepKey)?.size).to.equal(0)
    play.workers = [...play.workers, 'new']
    await play.rounds(roundsFor(1))
    expect([...play.tickets.get(task.stepKey)?.keys() ?? []]).to.deep.equal(['new'])
  })

  it('reaches each of 100 steps that wait, although all go on waiting with or without tickets', async () => {
    const play = new AdvicePlay(workersNamed(90), (worker, step) => worker === 'w3' && Number(step.split('.')[0]?.at(-1)) % 2 === 0)
    const tasks = Array.from({ length: 100 }, (_, at) => play.addStep(at + 1))
    await play.rounds(roundsFor(100))
    for (const task of tasks) expect(play.askedAbout(task).size, task.stepKey).to.be.at.least(WORKERS_IN_CALL)
  })

  it('is asked for the most urgent of the new steps first', async () => {
    const play = new AdvicePlay(workersNamed(10), () => true)
    const [first] = [1, 2, 3].map((number) => play.addStep(number))
    await play.rounds(1)
    const urgent = play.addStep(4)
    play.waiting = [urgent, ...play.waiting.filter((task) => task !== urgent)]
    await play.rounds(roundsFor(1))
    expect(play.calls.slice(0, 2).map(({ step }) => step)).to.deep.equal([first?.stepKey, urgent.stepKey])
  })

  it('is asked for further workers although others refuse their tickets at each start', async () => {
    const play = new AdvicePlay(workersNamed(120), () => true)
    const task = play.addStep(1)
    await play.rounds(roundsFor(12), () => {
      for (const instanceId of play.tickets.get(task.stepKey)?.keys() ?? []) if (instanceId !== 'w119') play.cache.invalidate(task, instanceId)
    })
    expect(play.askedAbout(task).size).to.equal(120)
  })

  // Guards against steps of jobs that ended before they were asked about, which would be remembered for ever.
  it('is forgotten for steps that do not wait any more, whether they were asked about or not', async () => {
    const play = new AdvicePlay(workersNamed(90), () => false)
    for (let at = 0; at < 200; at++) play.addStep(at + 1)
    await play.rounds(10)
    expect(play.cache.size).to.equal(200)
    play.waiting = play.waiting.slice(0, 1)
    play.nowMs += 60_000
    await play.rounds(2)
    expect(play.cache.size).to.equal(1)
  })

  it('is asked for again after failed calls, with a pause', async () => {
    const play = new AdvicePlay(workersNamed(10), () => true)
    play.failsNext = 3
    const task = play.addStep(1)
    for (let wait = 0; wait < 10; wait++) {
      await play.rounds(roundsFor(1))
      await new Promise((resolve) => setTimeout(resolve, 120))
    }
    expect(play.tickets.get(task.stepKey)?.size).to.equal(10)
  })
})
