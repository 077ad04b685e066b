import { expect } from 'chai'
import { FAILED_SEEDS } from '../lib/failedSeeds.js'
import { runSoak } from '../lib/runSoak.js'

const HOSTS = 4
const MACHINES_PER_SERVICE = 5
const MS_PER_S = 1000
/** Time for startup, settling, and a busy machine, in addition to the faults. */
const EXTRA_MS = 60_000
/** The kind of fault that makes the meetings, and for how long nothing else is drawn. */
const LAG_KIND = 33
const MEETINGS_MS = 8000

describe('fault soak', () => {
  const cases = [
    { seed: 20_261_202, seconds: 6, cause: 'a short run with 22 kinds of faults', kindCount: 22 },
    { seed: 20_261_203, seconds: 10, cause: 'a longer run with 27 kinds of faults', kindCount: 27 },
    { seed: 29, seconds: 15, cause: 'all kinds of faults; queues are removed while hosts learn of it late', kindCount: 29 },
    { seed: 311, seconds: 15, cause: 'all kinds of faults; queues are added three times while hosts learn of them late', kindCount: 28 },
    { seed: 132, seconds: 15, cause: 'all kinds of faults; queues move while their jobs are sent again', kindCount: 30 },
    { seed: 20_261_221, seconds: 10, cause: 'all kinds of faults; workers are lost in series three times', kindCount: 31 },
    { seed: 20_261_342, seconds: 10, cause: 'all kinds of faults; keys and queues are replaced twice while hosts learn of it late', kindCount: 32 },
    { seed: 20_261_433, seconds: 10, cause: 'all kinds of faults; lagging holders are asked after their starts', kindCount: 33 },
    ...FAILED_SEEDS
  ]
  for (const { seed, seconds, cause, kindCount } of cases) {
    it(`keeps all promises with seed ${seed} (${cause})`, async function () {
      this.timeout(seconds * MS_PER_S + EXTRA_MS)
      const size = { hosts: HOSTS, machinesPerService: MACHINES_PER_SERVICE }
      const { broken, accepted, stalledMs, directory } = await runSoak({ seed, lengthMs: seconds * MS_PER_S, kindCount, ...size })
      expect(broken, `see ${directory}; this process stood still for ${stalledMs} ms`).to.deep.equal([])
      expect(accepted).to.be.above(0)
    })
  }

  // A host went back from a version that it had started a job under without knowing it (kc-quill-now-grown).
  it('meets holders that lag, and none of them goes back', async function () {
    this.timeout(MEETINGS_MS + EXTRA_MS)
    const size = { hosts: HOSTS, machinesPerService: MACHINES_PER_SERVICE }
    const { broken, meetings, directory } = await runSoak({ seed: 7, lengthMs: MEETINGS_MS, firstKind: LAG_KIND, kindCount: LAG_KIND, ...size })
    expect(broken, `see ${directory}`).to.deep.equal([])
    expect(meetings).to.be.above(0)
  })
})
