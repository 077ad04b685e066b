import { expect } from 'chai'
import type { PrefixChange } from '@quillscale/leases'
import { systemClock } from '@quillscale/utils'
import { jobSpecSchema, type Backlog } from '@quillscale/policy'
import { JobApi, type SubmitOutcome } from '../lib/jobs/JobApi.js'
import { encodeBacklog } from '../lib/pressure/backlogRecord.js'
import { JobAdmission } from '../lib/pressure/JobAdmission.js'
import { BacklogWatcher } from '../lib/pressure/BacklogWatcher.js'
import { ADVISORY_AGE_MS, createReplica } from '../lib/records/createReplica.js'
import { backlogKey, DUTY_PREFIX, jobKey, serviceDutyKey } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { QUEUE, SERVICE, TestService } from './TestService.js'

const BACKLOG: Backlog = { roomMillis: 1000, freeMillis: 0, largestFreeMillis: 0, ahead: [{ priority: -1, waitMs: 60_000, taskMillis: 1 }], runTimes: [] }
const SPEC = jobSpecSchema.parse({ jobId: testJobId(1), queue: QUEUE, command: '', submittedMs: 0, steps: [{ taskCount: 1, cpuMillis: 100, estimateMs: 100 }] })

describe('admission of jobs', () => {
  let service: TestService
  let isUnderPressure: boolean
  beforeEach(() => {
    service = new TestService(1, 1000)
    isUnderPressure = true
  })
  afterEach(() => { service.close() })

  function submit (): Promise<SubmitOutcome> {
    const { jobApiStore: store, log, metrics, records } = service
    const backlogs = { backlogOf: () => isUnderPressure ? { backlog: BACKLOG, ageMs: 10 } : undefined }
    const admission = new JobAdmission({ backlogs, log, metrics, random: () => 0.5 })
    const jobApi = new JobApi({ store, clock: systemClock, log, records, admission })
    return jobApi.submit(SPEC, SERVICE, performance.now() + 2000, { queue: service.configuration.queues[0] })
  }

  it('writes nothing of a refused job, and logs and counts it', async () => {
    expect(await submit()).to.deep.equal({ kind: 'overloaded', retryAfterMs: 1000 })
    expect((await service.store.get(jobKey(SERVICE, SPEC.jobId))).unwrap()).to.equal(undefined)
    expect(service.log.lines.join()).to.match(/^job refused: it would end too late to be of use /)
      .and.include('"predictedWaitMs":59990,"backlogAgeMs":10,"retryAfterMs":1000')
    expect(service.metrics.render()).to.include(`jobs_refused_under_pressure{of="${QUEUE}"} 1`).and.include(`predicted_wait_refused_count{of="${SERVICE}"} 1`)
  })

  it('accepts the repeat of a job that was accepted before the pressure', async () => {
    isUnderPressure = false
    expect(await submit()).to.equal('accepted')
    isUnderPressure = true
    expect(await submit()).to.equal('accepted')
  })

  it('refuses without a promise if it cannot find out whether the job was accepted before', async () => {
    service.store.isDown = true
    expect(await submit()).to.equal('refused')
  })

  it('accepts without a record', async () => {
    isUnderPressure = false
    expect(await submit()).to.equal('accepted')
    expect(service.metrics.render()).to.not.include('predicted_wait')
  })

  it('names the backlog of the present holder to those who ask why a job waits, and lists it as no duty', async () => {
    const { fencingToken } = await service.takeOver()
    const { report } = service
    await service.until('its demand is published', async () => (await report.services()).unwrap().length === 1)
    const jobId = await service.submit(2, { runMs: 0 }, [{ cpuMillis: 9000 }])
    for (const token of [fencingToken, fencingToken - 1]) {
      service.write(backlogKey(SERVICE), encodeBacklog({ fencingToken: token, backlog: BACKLOG }))
      const { lines } = (await report.explain(jobId, Date.now())).unwrap()!
      expect(lines.some((line) => line.includes('is under pressure: new jobs of its lowest priority wait 60.0 s or longer'))).to.equal(token === fencingToken)
      expect((await report.duties()).unwrap().map(({ duty }) => duty)).to.deep.equal([`service/${SERVICE}`])
    }
  })

  it('refuses by the backlog that the scheduler publishes, and no longer once it is gone', async () => {
    const [queue] = service.configuration.queues
    const first = { ...queue!, stretch: 100 }
    const low = { ...queue!, name: 'low', priority: 1 }
    service.configuration = { ...service.configuration, queues: [first, low] }
    const watcher = new BacklogWatcher({ clock: systemClock, records: service.records })
    const stop = new AbortController()
    const onChange = (change: PrefixChange): void => watcher.apply(change, true)
    const replica = createReplica(service.log, { store: service.store, clock: systemClock, prefix: DUTY_PREFIX, maxAgeMs: ADVISORY_AGE_MS, onChange })
    void replica.run(stop.signal)
    const { jobApiStore: store, log, metrics, records } = service
    const admission = new JobAdmission({ backlogs: watcher, log, metrics, random: () => 0.5 })
    const jobApi = new JobApi({ store, clock: systemClock, log, records, admission })
    const submitLow = (number: number): Promise<SubmitOutcome> =>
      jobApi.submit({ ...SPEC, jobId: testJobId(number), queue: 'low', submittedMs: Date.now() }, SERVICE, performance.now() + 2000, { queue: low })

    const tenure = await service.takeOver()
    for (let number = 1; number <= 3; number++) await service.submit(number, { runMs: 60_000 }, [{ taskCount: 10, cpuMillis: 100, estimateMs: 60_000 }])
    await service.submit(4, { runMs: 60_000 }, [{ taskCount: 20, cpuMillis: 50, estimateMs: 60_000 }])
    expect(await submitLow(100)).to.equal('accepted')
    await service.until('the backlog is known', () => watcher.backlogOf(SERVICE) !== undefined)
    expect(await submitLow(101)).to.include({ kind: 'overloaded' })
    tenure.scheduler.close()
    service.write(serviceDutyKey(SERVICE), undefined)
    await service.until('the record is not used', () => watcher.backlogOf(SERVICE) === undefined, 1000)
    expect(await submitLow(101)).to.equal('accepted')
    stop.abort()
  }).timeout(20_000)

  it('records how long a job waited for its first start', async () => {
    await service.takeOver()
    await service.untilStatus(await service.submit(3, { runMs: 5 }), 'succeeded')
    expect(service.metrics.render()).to.include(`first_start_wait_count{of="${SERVICE}"} 1`)
  })
})
