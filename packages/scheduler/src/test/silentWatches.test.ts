import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { JobId, StepSpec } from '@quillscale/policy'
import { cancelKey, CANCEL_VALUE, inboxPrefix } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { SERVICE, TestService, WORKERS_PREFIX } from './TestService.js'

const JOB_COUNT = 4
/** Steps one after the other, so that a start follows each end until the job is cancelled. */
const STEPS: ReadonlyArray<Partial<StepSpec>> = Array.from({ length: 300 }, (_, index) => ({ cpuMillis: 100, dependsOn: index === 0 ? [] : [index - 1] }))
const OBSERVED_MS = 4500
/** Time until the watch that is then silenced has just begun. */
const YOUNG_WATCH_MS = 100

/** What a scheduler has to learn by a watch, and the starts that it forbids from its bound on. */
interface SilentWatchCase {
  readonly name: string
  readonly prefix: string
  readonly change: (test: TestService) => void
  readonly isForbidden: (test: TestService, run: { readonly taskKey: string, readonly instanceId: string }) => boolean
  readonly boundMs: (test: TestService) => number
}

const jobIds: readonly JobId[] = Array.from({ length: JOB_COUNT }, (_, index) => testJobId(index))
const drained = (test: TestService): string[] => [...test.runs.workers.values()].slice(0, 2).map(({ instance }) => instance.instanceId)
const cases: readonly SilentWatchCase[] = [
  {
    name: 'the cancellation of jobs',
    prefix: inboxPrefix(SERVICE),
    change: (test) => { for (const jobId of jobIds) test.write(cancelKey(SERVICE, jobId), CANCEL_VALUE) },
    isForbidden: (_, { taskKey }) => jobIds.some((jobId) => taskKey.startsWith(jobId)),
    boundMs: ({ cancelMs }) => cancelMs
  },
  {
    name: 'the draining of two of three workers',
    prefix: WORKERS_PREFIX,
    change: (test) => { for (const { instance } of [...test.runs.workers.values()].slice(0, 2)) test.list({ ...instance, state: 'draining' }) },
    isForbidden: (test, { instanceId }) => drained(test).includes(instanceId),
    boundMs: ({ drainMs }) => drainMs
  }
]
const silences = [
  { name: 'goes silent', begin: (test: TestService, prefix: string) => test.store.silenceWatches(prefix) },
  { name: 'is never answered again', begin: (test: TestService, prefix: string) => { test.store.unansweredPrefix = prefix } }
]

// Guards against starts that rest on a replica whose watch is silent without an error (UNASKED, DRAIN).
describe('starts while one watch of the store hears nothing', function () {
  this.timeout(30_000)
  let test: TestService
  beforeEach(() => { test = new TestService(3) })
  afterEach(() => test.close())

  for (const { name, prefix, change, isForbidden, boundMs } of cases) {
    for (const silence of silences) {
      it(`begin none that ${name} forbids, later than its bound, if the watch ${silence.name}`, async () => {
        await test.takeOver()
        await Promise.all(jobIds.map((_, number) => test.submit(number, { runMs: 40 }, STEPS)))
        await test.until('all jobs run', () => jobIds.every((jobId) => test.runs.records.some(({ taskKey }) => taskKey.startsWith(jobId))))
        // Another change lets the next watch begin.
        if (prefix === WORKERS_PREFIX) test.addWorker(3, 1, 100, 'draining')
        else await test.submit(JOB_COUNT, { runMs: 1 })
        await delay(YOUNG_WATCH_MS * 3)
        silence.begin(test, prefix)
        change(test)
        const changedMs = performance.now()
        await delay(OBSERVED_MS)
        const late = test.runs.records.filter((run) => run.startedMs > changedMs + boundMs(test) && isForbidden(test, run))
        expect(late.map(({ taskKey, startedMs }) => `${taskKey} ${Math.round(startedMs - changedMs)} ms`)).to.deep.equal([])
      })
    }
  }
})
