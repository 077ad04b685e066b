import { expect } from 'chai'
import { createJob, jobSpecSchema, RunTimeEstimator, type Job } from '@quillscale/policy'
import { createTestWorker, testJobId } from '@quillscale/policy/testing'
import { BacklogPublisher } from '../lib/pressure/BacklogPublisher.js'
import { decodeBacklog } from '../lib/pressure/backlogRecord.js'
import { backlogKey } from '../lib/records/storeKeys.js'
import { TestLog } from './TestService.js'

const SERVICE = 's'
const STEP_MS = 10
const queue = { name: 'q', host: 'h', pathPrefix: '/', service: SERVICE, priority: 0, attempts: 2, stretch: 100, targetLatencyMs: 0, timeoutMs: 3000 }

const jobsOf = (count: number): Job[] => Array.from({ length: count }, (_, number) =>
  createJob(jobSpecSchema.parse({ jobId: testJobId(number), queue: 'q', command: '', submittedMs: 0, steps: [{ taskCount: 1, cpuMillis: 1000, estimateMs: 1000 }] })))

class Fixture {
  readonly puts: Array<{ readonly atMs: number, readonly value: string | undefined }> = []
  hasRecord = false
  #nowMs = 0
  readonly #publisher = new BacklogPublisher({
    service: SERVICE,
    fencingToken: 3,
    managesPressure: true,
    log: new TestLog(),
    runTimes: new RunTimeEstimator(),
    configuration: () => ({ version: 1, maxBodyBytes: 1, services: [], queues: [queue, { ...queue, name: 'low', priority: 1 }] }),
    limitOf: () => undefined,
    isEvacuated: () => false,
    hasBacklogRecord: () => this.hasRecord,
    put: (key, source) => {
      expect(key).to.equal(backlogKey(SERVICE))
      this.puts.push({ atMs: this.#nowMs, value: source() })
    }
  })

  /** Plays rounds with a number of waiting jobs and workers, and returns what was written meanwhile. */
  play (lengthMs: number, jobsAt: (elapsedMs: number) => number, workers = 1): ReadonlyArray<Fixture['puts'][number]> {
    const before = this.puts.length
    const links = Array.from({ length: workers }, (_, number) => createTestWorker(1000, `w${number}`))
    for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += STEP_MS, this.#nowMs += STEP_MS) {
      this.#publisher.write(jobsOf(jobsAt(elapsedMs)), links, this.#nowMs, 0)
    }
    return this.puts.slice(before)
  }
}

describe('BacklogPublisher', () => {
  it('writes nothing without pressure', () => {
    expect(new Fixture().play(5000, () => 2)).to.deep.equal([])
  })

  it('writes nothing while more room may be on its way', () => {
    const fixture = new Fixture()
    for (const workers of [1, 2, 3]) expect(fixture.play(2900, () => 30, workers)).to.deep.equal([])
    const [first] = fixture.play(1000, () => 30, 3)
    expect(decodeBacklog(first?.value ?? '').unwrap()).to.deep.include({ fencingToken: 3 })
  })

  it('repeats an unchanged backlog about once a second, and a changing one at most three times a second', () => {
    const fixture = new Fixture()
    fixture.play(4000, () => 20)
    expect(fixture.play(5000, () => 20).length).to.be.within(4, 5)
    expect(fixture.play(5000, (elapsedMs) => elapsedMs % 800 < 400 ? 60 : 20).length).to.be.within(9, 15)
  })

  it('removes the record once when the pressure ends', () => {
    const fixture = new Fixture()
    fixture.play(4000, () => 20)
    expect(fixture.play(3000, () => 0).map(({ value }) => value)).to.deep.equal([undefined])
  })

  it('removes the record of a former holder', () => {
    const fixture = new Fixture()
    fixture.hasRecord = true
    expect(fixture.play(800, () => 0).map(({ value }) => value)).to.deep.equal([undefined])
  })
})
