import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import type { AccountName, Transaction } from '@quillscale/ports'
import { jobSpecSchema, type JobOwner, type JobSpec } from '@quillscale/policy'
import { JobApi, type CancelOutcome, type SubmitOutcome } from '../lib/jobs/JobApi.js'
import { MonitoredStore } from '../lib/records/MonitoredStore.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { cancelKey, jobKey, jobServiceKey } from '../lib/records/storeKeys.js'
import { testJobId } from '@quillscale/policy/testing'
import { FaultyStore, QUEUE, SERVICE, TestLog } from './TestService.js'

const JOB_ID = testJobId(7)
const OWNER: JobOwner = { account: 'press' as AccountName, keyTag: 'tag-press' }
const RENAMED_OWNER: JobOwner = { ...OWNER, account: 'evening press' as AccountName }
const STRANGER: JobOwner = { account: 'herald' as AccountName, keyTag: 'tag-herald' }
const SPEC: JobSpec = jobSpecSchema.parse({ jobId: JOB_ID, queue: QUEUE, command: '', submittedMs: 0, steps: [{ taskCount: 1, cpuMillis: 100 }] })
const OTHER_SERVICE = 'other'
const DEADLINE_MS = 2000

/** Carries out the next transaction late, counts leases, and can end them. */
class LateStore extends FaultyStore {
  readonly leaseIds: string[] = []
  held: Transaction | undefined
  holdsNext = false
  beforeTransaction: (() => Promise<unknown>) | undefined

  override async grantLease (ttlMs: number): ReturnType<FaultyStore['grantLease']> {
    const granted = await super.grantLease(ttlMs)
    if (granted.ok) this.leaseIds.push(granted.val)
    return granted
  }

  override async transact (transaction: Transaction): ReturnType<FaultyStore['transact']> {
    const { beforeTransaction } = this
    this.beforeTransaction = undefined
    await beforeTransaction?.()
    if (!this.holdsNext) return await super.transact(transaction)
    this.holdsNext = false
    this.held = transaction
    return await super.transact({ conditions: [{ key: 'absent', modRevision: 1 }], puts: [], removals: [] })
  }
}

// A job was started seconds after its cancellation had been answered "no such job", as its submission was still under way then.
describe('a job whose id was cancelled before it was accepted', () => {
  let store: LateStore
  let jobApi: JobApi

  const createJobApi = (): JobApi => {
    const log = new TestLog()
    return new JobApi({ store: new MonitoredStore(store, systemClock), clock: systemClock, log, records: new RecordReader(log, new SchedulerMetrics()) })
  }
  beforeEach(() => {
    store = new LateStore()
    jobApi = createJobApi()
  })

  const submit = (spec: Partial<JobSpec> = {}, service = SERVICE): Promise<SubmitOutcome> => {
    const otherServices = [SERVICE, OTHER_SERVICE].filter((other) => other !== service)
    return createJobApi().submit({ ...SPEC, ...spec }, service, performance.now() + DEADLINE_MS, { otherServices })
  }
  const cancel = (caller?: JobOwner, jobId = JOB_ID): Promise<CancelOutcome> =>
    jobApi.cancel(jobId, [SERVICE, OTHER_SERVICE], performance.now() + DEADLINE_MS, caller)
  const jobs = async (): Promise<string[]> => (await store.list('inbox/')).unwrap().items.map(({ key }) => key)

  const cases: ReadonlyArray<{
    readonly name: string, readonly caller?: JobOwner, readonly spec?: Partial<JobSpec>, readonly service?: string, readonly isRefused: boolean
  }> = [
    { name: 'by its client, without accounts', isRefused: true },
    { name: 'by its client', caller: OWNER, spec: { owner: OWNER }, isRefused: true },
    { name: 'by its client, which was renamed', caller: OWNER, spec: { owner: RENAMED_OWNER }, isRefused: true },
    { name: 'by its client, for another service', caller: OWNER, spec: { owner: OWNER }, service: OTHER_SERVICE, isRefused: true },
    { name: 'by anybody, as it is public', caller: STRANGER, spec: { owner: OWNER, isPublic: true }, isRefused: true },
    { name: 'by another account', caller: STRANGER, spec: { owner: OWNER }, isRefused: false },
    { name: 'without a key', spec: { owner: OWNER }, isRefused: false }
  ]
  for (const { name, caller, spec = {}, service = SERVICE, isRefused } of cases) {
    it(`is ${isRefused ? 'not accepted' : 'accepted'}: ${name}`, async () => {
      expect(await cancel(caller)).to.equal('no-such-job')
      expect(await submit(spec, service)).to.equal(isRefused ? 'cancelled' : 'accepted')
      expect(await jobs()).to.deep.equal(isRefused ? [] : [jobKey(service, JOB_ID)])
      expect(await submit(spec, service)).to.equal(isRefused ? 'cancelled' : 'accepted')
    })
  }

  it('is not accepted by a transaction that the store carries out late', async () => {
    store.holdsNext = true
    store.loseAnswers = () => true
    expect(await submit({ owner: OWNER })).to.equal('unknown')
    store.loseAnswers = () => false
    // The client's second attempt had an effect; the first one is carried out after the record of the job is gone.
    for (const key of [jobKey(SERVICE, JOB_ID), jobServiceKey(JOB_ID)]) await store.transact({ conditions: [], puts: [], removals: [key] })
    expect(await cancel(OWNER)).to.equal('no-such-job')
    expect((await store.transact(store.held as Transaction)).unwrap().committed).to.equal(false)
    expect(await jobs()).to.deep.equal([])
  })

  it('is cancelled if it was accepted while the cancellation was under way', async () => {
    store.beforeTransaction = () => submit({ owner: OWNER })
    expect(await cancel(OWNER)).to.equal('accepted')
    expect(await jobs()).to.deep.equal([jobKey(SERVICE, JOB_ID), cancelKey(SERVICE, JOB_ID)])
  })

  it('stays as it is if it is another account\'s', async () => {
    expect(await submit({ owner: OWNER })).to.equal('accepted')
    expect(await cancel(STRANGER)).to.equal('no-such-job')
    expect(await submit({ owner: OWNER })).to.equal('accepted')
    expect((await store.get(jobServiceKey(JOB_ID))).unwrap()?.value).to.equal(SERVICE)
    expect(await jobs()).to.deep.equal([jobKey(SERVICE, JOB_ID)])
  })

  it('is not accepted after a repeated cancellation, or one whose answer was lost', async () => {
    let lost = 1
    store.loseAnswers = () => lost-- > 0
    expect(await cancel(OWNER)).to.equal('no-such-job')
    expect(await cancel(OWNER)).to.equal('no-such-job')
    expect(await submit({ owner: OWNER })).to.equal('cancelled')
  })

  it('is not acknowledged as cancelled while the store takes no writes', async () => {
    store.refusesWrites = true
    expect(await cancel(OWNER)).to.equal('unavailable')
  })

  for (const count of [10, 100, 1000]) {
    it(`needs one lease for ${count} cancellations at once, and its records end with it`, async () => {
      const ids = Array.from({ length: count }, (_, at) => testJobId(at))
      expect(new Set(await Promise.all(ids.map((jobId) => cancel(OWNER, jobId))))).to.deep.equal(new Set(['no-such-job']))
      expect((await store.list('job-service/')).unwrap().items).to.have.length(count)
      expect(store.leaseIds).to.have.length(1)
      await store.revokeLease(store.leaseIds[0] ?? '')
      expect((await store.list('job-service/')).unwrap().items).to.deep.equal([])
      expect(await submit({ owner: OWNER })).to.equal('accepted')
    })
  }

  it('is not accepted if the shared lease had ended before', async () => {
    await cancel(OWNER, testJobId(1))
    await store.revokeLease(store.leaseIds[0] ?? '')
    expect(await cancel(OWNER)).to.equal('no-such-job')
    expect(await submit({ owner: OWNER })).to.equal('cancelled')
    expect(store.leaseIds).to.have.length(2)
  })

  it('outlives the record of another account\'s cancellation, which it replaces', async () => {
    expect(await cancel(STRANGER)).to.equal('no-such-job')
    expect(await submit({ owner: OWNER })).to.equal('accepted')
    await store.revokeLease(store.leaseIds[0] ?? '')
    expect((await store.get(jobServiceKey(JOB_ID))).unwrap()?.value).to.equal(SERVICE)
    expect(await submit({ owner: OWNER })).to.equal('accepted')
  })
})
