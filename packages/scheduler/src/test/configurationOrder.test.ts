import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { AccountName, ClientAccount, FleetConfiguration, QueueConfiguration } from '@quillscale/ports'
import { jobSpecSchema } from '@quillscale/policy'
import { testJobId } from '@quillscale/policy/testing'
import { QUEUE, SERVICE, TestService } from './TestService.js'

const EXISTING_QUEUE: QueueConfiguration = {
  name: QUEUE, host: 'h', pathPrefix: '/q/', service: SERVICE, priority: 0, attempts: 2, stretch: 2, targetLatencyMs: 100, timeoutMs: 3000
}

const ADDED_ACCOUNT: ClientAccount = { name: 'added' as AccountName, keyHashes: [], weight: 1, limit: { cpuMillis: 0, memoryMb: 0, gpus: 0 } }
/** Several times the interval of placement rounds without a request. */
const SEVERAL_ROUNDS_MS = 700
/** Time from the acceptance of a job with a schedule to its start. */
const START_DELAY_MS = 600
const DEADLINE_MS = 2000
const OLDER_VERSION = 1
const NEWER_VERSION = 2
const [JOB_ID, TASK_KEY] = [testJobId(1), `${testJobId(1)}.0.0.0`]

/** Configurations of the holder and of another host that knows a newer one already, and the queue of a job that the other host accepts. */
const changes: ReadonlyArray<{
  readonly name: string, readonly queue: string, readonly older: Partial<FleetConfiguration>, readonly newer: Partial<FleetConfiguration>
}> = [
  { name: 'adds the queue', queue: 'added', older: {}, newer: { queues: [{ ...EXISTING_QUEUE, name: 'added', pathPrefix: '/added/' }] } },
  { name: 'moves the queue to this service', queue: QUEUE, older: { queues: [{ ...EXISTING_QUEUE, service: 'other' }] }, newer: { queues: [EXISTING_QUEUE] } },
  { name: 'adds the account', queue: QUEUE, older: { accounts: [] }, newer: { accounts: [ADDED_ACCOUNT] } }
]

// A host started jobs of a queue for which it answered 404 (kc-quill-now-grown: went back from a version).
describe('a host does not act on a job before it knows the configuration by which the job was accepted', () => {
  let service: TestService
  beforeEach(() => { service = new TestService(2) })
  afterEach(() => service.close())

  /** Stores a job as a host does that accepted it by a version of the configuration. */
  function accept (queue: string, configurationVersion: number | undefined): void {
    const spec = { jobId: JOB_ID, queue, command: '{"runMs":10}', submittedMs: Date.now(), configurationVersion, steps: [{ taskCount: 1, cpuMillis: 1000 }] }
    service.write(`inbox/${SERVICE}/${JOB_ID}`, JSON.stringify(spec))
  }

  for (const { name, queue, older, newer } of changes) {
    it(`when a newer version ${name}`, async () => {
      service.configuration = { ...service.configuration, ...older, version: OLDER_VERSION }
      await service.takeOver()
      accept(queue, NEWER_VERSION)
      await delay(SEVERAL_ROUNDS_MS)
      expect(service.runs.records).to.deep.equal([])
      expect(service.requiredVersions).to.include(NEWER_VERSION)
      service.configuration = { ...service.configuration, ...newer, version: NEWER_VERSION }
      await service.until('the job is done', () => service.doneRuns(TASK_KEY) === 1)
    })
  }

  const startable = [
    { name: 'the same version', version: OLDER_VERSION },
    { name: 'an older version', version: OLDER_VERSION - 1 },
    { name: 'an unknown version', version: undefined }
  ]
  for (const { name, version } of startable) {
    it(`but starts a job that was accepted by ${name}`, async () => {
      await service.takeOver()
      accept(QUEUE, version)
      await service.until('the job is done', () => service.doneRuns(TASK_KEY) === 1)
      expect(service.requiredVersions).to.deep.equal([])
    })
  }

  // Answers are ordered with the store, so that a holder may start what was sent again under a version that it does not know.
  it('but does not wait for the version of a repeat', async () => {
    service.configuration = { ...service.configuration, version: OLDER_VERSION }
    await service.takeOver()
    const spec = jobSpecSchema.parse({
      jobId: JOB_ID,
      queue: QUEUE,
      owner: { account: ADDED_ACCOUNT.name, keyTag: 'first' },
      command: '{"runMs":10}',
      submittedMs: Date.now(),
      configurationVersion: OLDER_VERSION,
      schedule: { runs: 1, firstRunMs: Date.now() + START_DELAY_MS, intervalMs: 0 },
      steps: [{ taskCount: 1, cpuMillis: 1000 }]
    })
    const repeat = { ...spec, owner: { account: ADDED_ACCOUNT.name, keyTag: 'second' }, configurationVersion: NEWER_VERSION }
    for (const sent of [spec, repeat]) expect(await service.jobApi.submit(sent, SERVICE, performance.now() + DEADLINE_MS)).to.equal('accepted')
    await service.until('the job is done', () => service.doneRuns(TASK_KEY) === 1)
    expect(service.requiredVersions).to.deep.equal([])
  })

  it('while other jobs go on', async () => {
    await service.takeOver()
    accept(QUEUE, NEWER_VERSION)
    await service.untilStatus(await service.submit(2, { runMs: 10 }), 'succeeded')
    expect(service.doneRuns(TASK_KEY)).to.equal(0)
  })
})
