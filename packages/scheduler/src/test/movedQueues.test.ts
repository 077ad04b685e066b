import { expect } from 'chai'
import { delay, Err, systemClock } from '@quillscale/utils'
import type { AccountName, Transaction } from '@quillscale/ports'
import { jobSpecSchema, type JobOwner, type JobSpec } from '@quillscale/policy'
import { JobApi, type SubmitOutcome } from '../lib/jobs/JobApi.js'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { cancelKey, jobKey, jobServiceKey, progressKey, waitingKey } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { FaultyStore, QUEUE, SERVICE, TestLog, TestService } from './TestService.js'

const JOB_ID = testJobId(7)
const OWNER: JobOwner = { account: 'press' as AccountName, keyTag: 'tag-press' }
const STRANGER: JobOwner = { account: 'herald' as AccountName, keyTag: 'tag-herald' }
const SPEC: JobSpec = jobSpecSchema.parse({ jobId: JOB_ID, queue: QUEUE, owner: OWNER, command: '', submittedMs: 0, steps: [{ taskCount: 1, cpuMillis: 100 }] })
const RECORD = JSON.stringify(SPEC)
const DEADLINE_MS = 2000

/** One call by a host: the service that the queue has by its configuration, and the other services of that configuration. */
interface Call { readonly service: string, readonly others: readonly string[] }

const calls = (...services: string[]): Call[] => services.map((service) => ({ service, others: ['s', 't', 'u'].filter((other) => other !== service) }))

/** The first call is accepted; the last one tells where status and cancellation look. */
const sequences: ReadonlyArray<{
  readonly name: string, readonly calls: readonly Call[], readonly stored?: Readonly<Record<string, string>>, readonly first?: string
}> = [
  { name: 'once', calls: calls('s', 't') },
  { name: 'twice', calls: calls('s', 't', 'u') },
  { name: 'away and back', calls: calls('s', 't', 's') },
  { name: 'to a service of which its first host knew nothing', calls: [{ service: 's', others: [] }, { service: 't', others: ['s'] }] },
  { name: 'and its first service is not configured any more', calls: [{ service: 's', others: ['t'] }, { service: 't', others: [] }] },
  { name: 'and a host that knows an older configuration gets the repeat', calls: calls('t', 's') },
  { name: 'and another program version has recorded the job without its service', calls: calls('t'), stored: { [jobKey('s', JOB_ID)]: RECORD }, first: 's' },
  { name: 'and its recorded service is that of a job which is gone', calls: calls('t'), stored: { [jobServiceKey(JOB_ID)]: 's' }, first: 't' },
  { name: 'and the record of its service is another writer\'s', calls: calls('t'), stored: { [jobServiceKey(JOB_ID)]: '{"a/b":' }, first: 't' },
  { name: 'and the record of its service names none that can be', calls: calls('t'), stored: { [jobServiceKey(JOB_ID)]: 'x'.repeat(500) }, first: 't' },
  {
    name: 'and its first record cannot be decoded',
    calls: calls('t'),
    stored: { [jobServiceKey(JOB_ID)]: 's', [jobKey('s', JOB_ID)]: '{"jobId":' },
    first: 's'
  }
]

// A job ran twice: it was sent again after its 2xx, when its queue had another service, and was recorded for that service too (review/2).
describe('a job id stays one job when its queue has moved', () => {
  let store: FaultyStore
  let jobApi: JobApi
  beforeEach(() => {
    store = new FaultyStore()
    const log = new TestLog()
    const records = new RecordReader(log, new SchedulerMetrics())
    jobApi = new JobApi({ store: new MonitoredStore(store, systemClock), clock: systemClock, log, records })
  })

  const put = (key: string, value: string): Promise<unknown> => store.transact({ conditions: [], puts: [{ key, value }], removals: [] })
  const submit = ({ service, others }: Call, owner = OWNER): Promise<SubmitOutcome> =>
    jobApi.submit({ ...SPEC, owner }, service, performance.now() + DEADLINE_MS, { otherServices: others })
  const servicesOf = ({ service, others }: Call): string[] => [service, ...others]

  async function servicesWithJob (): Promise<string[]> {
    const { items } = (await store.list('inbox/')).unwrap()
    return items.filter(({ key, value }) => key.endsWith(JOB_ID) && value.startsWith('{"jobId":"')).map(({ key }) => key.split('/')[1] ?? '')
  }

  for (const { name, calls: sent, stored = {}, first = sent[0]?.service ?? '' } of sequences) {
    const last = sent.at(-1) as Call

    it(`${name}: it is recorded in its first service only`, async () => {
      for (const [key, value] of Object.entries(stored)) await put(key, value)
      for (const call of sent) expect(await submit(call)).to.equal('accepted')
      expect(await servicesWithJob()).to.deep.equal([first])
    })

    it(`${name}: status, cancellation and owner follow the first record`, async () => {
      for (const [key, value] of Object.entries(stored)) await put(key, value)
      for (const call of sent) await submit(call)
      const deadlineMs = performance.now() + DEADLINE_MS
      await put(progressKey(first, JOB_ID), JSON.stringify({ status: 'running', owner: OWNER, tasks: [] }))
      expect(await jobApi.status(JOB_ID, servicesOf(last), deadlineMs, OWNER)).to.equal('running')
      expect(await jobApi.status(JOB_ID, servicesOf(last), deadlineMs, STRANGER)).to.equal('no-such-job')
      expect(await submit(last, STRANGER)).to.equal('taken')
      expect(await jobApi.cancel(JOB_ID, servicesOf(last), deadlineMs, OWNER)).to.equal('accepted')
      expect((await store.get(cancelKey(first, JOB_ID))).unwrap()?.value).to.equal('1')
    })
  }

  it('and another program version has recorded it in two services: its owner is that of the first', async () => {
    await put(jobKey('t', JOB_ID), RECORD)
    await put(jobKey('s', JOB_ID), JSON.stringify({ ...SPEC, owner: STRANGER }))
    expect(await submit(calls('u')[0] as Call)).to.equal('accepted')
    expect(await submit(calls('u')[0] as Call, STRANGER)).to.equal('taken')
    expect(await servicesWithJob()).to.deep.equal(['s', 't'])
  })

  it('and two hosts with different configurations get it at the same time', async () => {
    store.writeDelayMs = () => 5
    const outcomes = await Promise.all(calls('s', 't', 'u').map((call) => submit(call)))
    expect(outcomes).to.deep.equal(['accepted', 'accepted', 'accepted'])
    expect(await servicesWithJob()).to.have.length(1)
  })

  it('and the answer to its first transaction is lost', async () => {
    let lost = 1
    store.loseAnswers = () => lost-- > 0
    expect(await submit(calls('s')[0] as Call)).to.equal('accepted')
    expect(await submit(calls('t')[0] as Call)).to.equal('accepted')
    expect(await servicesWithJob()).to.deep.equal(['s'])
  })

  it('and its first transaction takes effect only after the job was accepted elsewhere', async () => {
    const delayed: Transaction[] = []
    const transact = store.transact.bind(store)
    store.transact = async (transaction) => {
      delayed.push(transaction)
      return Err({ kind: 'unknown-effect', detail: 'delayed' })
    }
    expect(await submit(calls('s')[0] as Call)).to.equal('unknown')
    store.transact = transact
    expect(await submit(calls('t')[0] as Call)).to.equal('accepted')
    for (const transaction of delayed) await store.transact(transaction)
    expect(await servicesWithJob()).to.deep.equal(['t'])
  })

  it('costs one transaction, and no read', async () => {
    let reads = 0
    let writes = 0
    const [get, transact] = [store.get.bind(store), store.transact.bind(store)]
    store.get = (key) => { reads++; return get(key) }
    store.transact = (transaction) => { writes++; return transact(transaction) }
    await submit(calls('s')[0] as Call)
    expect({ reads, writes }).to.deep.equal({ reads: 0, writes: 1 })
  })

  it('fits into a transaction, however many services there are', async () => {
    let entries = 0
    const transact = store.transact.bind(store)
    store.transact = (transaction) => {
      entries = Math.max(entries, transaction.conditions.length + transaction.puts.length + transaction.removals.length)
      return transact(transaction)
    }
    const others = Array.from({ length: 143 }, (_, index) => `service-${index}`)
    expect(await submit({ service: 's', others })).to.equal('accepted')
    expect(await submit({ service: 'service-142', others: ['s', ...others.slice(0, -1)] })).to.equal('accepted')
    expect(await servicesWithJob()).to.deep.equal(['s'])
    expect(entries).to.be.at.most(32)
  })

  const counts: ReadonlyArray<{ readonly name: string, readonly ageMs: number, readonly count: number }> = [
    { name: 'published lately', ageMs: 0, count: 2 },
    { name: 'published long ago: they are counted from the records', ageMs: 60_000, count: 1 }
  ]
  for (const { name, ageMs, count } of counts) {
    it(`counts the jobs that wait in its former service, ${name}`, async () => {
      await submit(calls('s')[0] as Call)
      await put(waitingKey('s'), JSON.stringify({ atMs: Date.now() - ageMs, counts: { [QUEUE]: 2 } }))
      await put(waitingKey('t'), JSON.stringify({ atMs: Date.now(), counts: {} }))
      expect(await jobApi.countWaiting(QUEUE, 't', performance.now() + DEADLINE_MS)).to.equal(count)
    })
  }
})

describe('the service of a job', () => {
  it('is forgotten with the job, so that its id can be used again', async () => {
    const service = new TestService(1)
    service.keepEndedMs = 50
    try {
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 10 })
      expect((await service.store.get(jobServiceKey(jobId))).unwrap()?.value).to.equal(SERVICE)
      await service.until('the job is removed', async () => (await service.store.get(jobKey(SERVICE, jobId))).unwrap() === undefined)
      await delay(100)
      expect((await service.store.get(jobServiceKey(jobId))).unwrap()).to.equal(undefined)
    } finally {
      service.close()
    }
  })
})
