import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { TestService, type Tenure } from './TestService.js'

/** Of which a scheduler uses four fifths for its leases. */
const MAX_LEASE_MS = 3000
/** Those leases on a clock that runs 2 % slow, 20 ms for a stop and 300 ms for late timers: the whole wait of one holder. */
const WHOLE_WAIT_MS = 2400 / 0.98 + 20 + 300
/** Until a new holder may be sure that a worker does not answer, and for rounds and commits. */
const ALLOWANCE_MS = 1300
const TENURE_MS = 1300
const FLUSH_MS = 600

interface Ending { readonly how: string, readonly end: (tenure: Tenure) => Promise<void> }

const endings: readonly Ending[] = [
  {
    how: 'is stopped as planned',
    end: async ({ scheduler }) => {
      await scheduler.flush(FLUSH_MS)
      scheduler.close()
    }
  },
  { how: 'is killed', end: async ({ scheduler }) => scheduler.close() }
]

describe('a series of take-overs', () => {
  let service: TestService
  afterEach(() => service.close())

  /** Starts a lasting task and silences its worker for good. */
  async function loseWorker (): Promise<{ readonly tenure: Tenure, readonly worker: StandInWorker, readonly lostMs: number }> {
    service = new TestService(2)
    service.maxLeaseMs = MAX_LEASE_MS
    const tenure = await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true }])
    await service.until('it runs', () => service.runs.records.length === 1)
    await delay(200)
    const instanceId = service.runs.records[0]?.instanceId ?? ''
    const worker = service.runs.workers.get(instanceId) as StandInWorker
    worker.faults.isSilent = true
    service.unlist(instanceId)
    return { tenure, worker, lostMs: performance.now() }
  }

  for (const { how, end } of endings) {
    for (const takeOvers of [1, 6]) {
      it(`does not lengthen the wait for a lost run: ${takeOvers} times the holder ${how}`, async () => {
        const lost = await loseWorker()
        let tenure = lost.tenure
        const until = (): boolean => service.runs.records.length === 2
        for (let number = 0; number < takeOvers && !until(); number++) {
          await end(tenure)
          tenure = await service.takeOver()
          await delay(TENURE_MS)
        }
        await service.until('it runs again', until)
        lost.worker.step()
        expect(service.doubled, service.log.lines.join('\n')).to.deep.equal([])
        const again = service.runs.records.find(({ runNumber }) => runNumber === 2)
        expect((again?.startedMs ?? Infinity) - lost.lostMs).to.be.below(WHOLE_WAIT_MS + ALLOWANCE_MS)
      }).timeout(30_000)
    }
  }
})
