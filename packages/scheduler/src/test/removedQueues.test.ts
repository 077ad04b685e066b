import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { JobSpec } from '@quillscale/policy'
import { TestService } from './TestService.js'

const ATTEMPTS = 5

// A job was shown as failed after three failed runs, because its queue, which allows five, was away from the configuration (review report, LOST).
describe('a job whose queue is removed after its acceptance', () => {
  let service: TestService
  beforeEach(async () => {
    service = new TestService(2)
    const { attempts, ...queue } = service.configuration.queues[0] as TestService['configuration']['queues'][number]
    service.configuration = { ...service.configuration, queues: [{ ...queue, attempts: ATTEMPTS }] }
    service.recordedTerms = { ...queue, attempts: ATTEMPTS } as JobSpec['queueTerms']
    await service.takeOver()
  })
  afterEach(() => { service.close() })

  const removeQueue = (): void => { service.configuration = { ...service.configuration, version: 2, queues: [] } }

  it('has the attempts of its acceptance', async () => {
    removeQueue()
    const jobId = await service.submit(1, { runMs: 10, fails: true })
    await service.untilStatus(jobId, 'failed')
    await delay(100)
    expect(service.runs.records).to.have.length(ATTEMPTS)
  })

  it('has them also under a new holder', async () => {
    const jobId = await service.submit(1, { runMs: 100, fails: true })
    await service.until('it runs', () => service.runs.records.length === 1)
    removeQueue()
    await service.takeOver()
    await service.untilStatus(jobId, 'failed')
    expect(service.runs.records).to.have.length(ATTEMPTS)
  })

  it('has the attempts of its acceptance when its queue comes back with others', async () => {
    const [queue] = service.configuration.queues
    service.configuration = { ...service.configuration, version: 3, queues: queue === undefined ? [] : [{ ...queue, attempts: 1 }] }
    const jobId = await service.submit(1, { runMs: 10, fails: true })
    await service.untilStatus(jobId, 'failed')
    expect(service.runs.records).to.have.length(ATTEMPTS)
  })
})
