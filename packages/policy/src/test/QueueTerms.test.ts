import { expect } from 'chai'
import { jobSpecSchema } from '../lib/jobs/JobSpec.js'
import { effectiveTerms, queueTermsOf, type QueueTerms } from '../lib/jobs/QueueTerms.js'
import { testJobId } from '../testing/testJobId.js'

const RECORDED: QueueTerms = { priority: 1, attempts: 5, stretch: 2, targetLatencyMs: 100, advice: { decisionMs: 5, perWorkerMs: 1, validMs: 3000 } }
const PRESENT: QueueTerms = { priority: 0, attempts: 3, stretch: 4, targetLatencyMs: 200 }

const cases: ReadonlyArray<{
  readonly name: string, readonly recorded?: QueueTerms, readonly present?: QueueTerms, readonly expected: QueueTerms | undefined
}> = [
  { name: 'its queue was removed: those of its record', recorded: RECORDED, expected: RECORDED },
  { name: 'its queue has changed: attempts and advice of its record', recorded: RECORDED, present: PRESENT, expected: { ...PRESENT, attempts: 5, advice: RECORDED.advice } },
  { name: 'its queue needs tickets only now', recorded: PRESENT, present: RECORDED, expected: { ...RECORDED, attempts: 3 } },
  { name: 'its record tells nothing: those of its queue', present: PRESENT, expected: PRESENT },
  { name: 'its record tells nothing and its queue was removed: none', expected: undefined }
]

// A job was failed after three failed runs of five, and another got no tickets, because their queue had been removed.
describe('effectiveTerms of a job', () => {
  for (const { name, recorded, present, expected } of cases) {
    it(name, () => {
      const spec = jobSpecSchema.parse({ jobId: testJobId(1), queue: 'q', command: '', submittedMs: 0, queueTerms: recorded, steps: [{ taskCount: 1 }] })
      expect(effectiveTerms(spec, present)).to.deep.equal(expected)
    })
  }

  it('are recorded without what is no term', () => {
    const queue = { ...RECORDED, name: 'q', host: 'h', pathPrefix: '/', service: 's', timeoutMs: 1 }
    expect(queueTermsOf(queue)).to.deep.equal(RECORDED)
  })
})
