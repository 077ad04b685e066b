import { expect } from 'chai'
import { createJob, jobSpecSchema, OrderWindow, type Job } from '@quillscale/policy'
import { StopSlots } from '../lib/workers/StopSlots.js'
import { testJobId } from '@quillscale/policy/testing'

const jobOf = (number: number): Job => createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1, cpuMillis: 1 }] }))

/** Stops of which each waits until it is answered. */
class StopPlay {
  readonly window = new OrderWindow()
  readonly slots = new StopSlots(this.window)
  readonly sent: string[] = []
  readonly #answers: Array<(error?: Error) => void> = []
  readonly settled: Array<Promise<unknown>> = []

  /** Asks for stops. @param names - a letter for each @param job - their job */
  stop (names: string, job: Job): void {
    for (const name of names) {
      this.settled.push(this.slots.use(job, () => {
        this.sent.push(name)
        return new Promise<void>((resolve, reject) => this.#answers.push((error) => error === undefined ? resolve() : reject(error)))
      }).catch(() => {}))
    }
  }

  /** Answers the oldest stops, or fails them. @param count - how many @param error - why they fail */
  async answer (count: number, error?: Error): Promise<void> {
    for (const answer of this.#answers.splice(0, count)) answer(error)
    await new Promise((resolve) => setImmediate(resolve))
  }
}

describe('StopSlots', () => {
  // Guards against the stops of a large job that are all sent at once, and hold up everything else.
  it('sends no more stops at once than the window allows', async () => {
    const play = new StopPlay()
    play.stop('a'.repeat(50), jobOf(1))
    expect(play.sent).to.have.length(play.window.size)
    await play.answer(3)
    expect(play.sent).to.have.length(play.window.size + 3)
  })

  it('gives the jobs their turns in rotation', async () => {
    const play = new StopPlay()
    play.stop('a'.repeat(play.window.size + 4), jobOf(1))
    play.stop('bc', jobOf(2))
    play.stop('d', jobOf(3))
    play.sent.length = 0
    await play.answer(7)
    expect(play.sent.join('')).to.equal('abdacaa')
  })

  it('goes on after stops that fail', async () => {
    const play = new StopPlay()
    play.stop('a'.repeat(2 * play.window.size), jobOf(1))
    await play.answer(play.window.size, new Error('failed'))
    await play.answer(play.window.size)
    await Promise.all(play.settled)
    expect(play.sent).to.have.length(2 * play.window.size)
  })
})
