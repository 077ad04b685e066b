import { expect } from 'chai'
import { QUEUE_ATTEMPTS, type FleetRunRecord, type MachineOrderRecord } from '@quillscale/platform-fleet'
import { checkPromises, PROMISES } from '../lib/checkPromises.js'
import type { History, JobView, LagAnswer, QueueLookup, RotatedCall } from '../lib/History.js'
import type { Rotation } from '../lib/Rotations.js'

const job = (changes: Partial<JobView> = {}): JobView => ({
  jobId: 'a',
  steps: [{ taskCount: 1, dependsOn: [], isLasting: false, maxAway: undefined }],
  account: 'herald',
  submitted: 'accepted',
  acceptedMs: 100,
  cancelAcknowledgedMs: undefined,
  isCancelSent: false,
  crashesWorkers: false,
  sentToExtraQueueMs: undefined,
  unknownAtMs: [],
  failedAtMs: [],
  finalState: 'succeeded',
  ...changes
})
const runOf = (changes: Partial<FleetRunRecord> = {}): FleetRunRecord => ({
  taskKey: 'a.0.0.0', runNumber: 1, instanceId: 'w1', command: '', fencingToken: 7, startedMs: 200, endedMs: 300, end: 'done', isAcknowledged: true, availabilityZone: 'z0', endedByOrder: false, ...changes
})
const order = (changes: Partial<MachineOrderRecord> = {}): MachineOrderRecord =>
  ({ machineId: 'm', holder: 'host-0', fencingToken: 5, kind: 'upkeep', wave: 1, atMs: 1000, inUpkeep: 1, ...changes })
const lagAnswer: LagAnswer = { hostName: 'host-0', name: 'a count', startedMs: 100, sentMs: 400, status: 200, isOutdated: false }
const history = (changes: Partial<History> = {}): History =>
  ({
    jobs: [job()],
    runs: [runOf()],
    orders: [order()],
    overloads: [],
    ends: [],
    broken: [],
    probes: [],
    lookups: [],
    extraQueueChanges: [],
    configurations: [{ revision: 10, writtenMs: 40, hasExtraQueue: true }, { revision: 20, writtenMs: 80, hasExtraQueue: false }],
    storedJobs: [],
    tenures: [{ service: 'grids', fencingToken: 7, hostName: 'host-0' }],
    keyProbes: [],
    limits: [{ atMs: -Infinity, tasks: 1 }],
    evacuations: [],
    rotatedCalls: [],
    lagAnswers: [],
    maxInUpkeep: 2,
    ...changes
  })

/** A job of a queue that was added at 50 and removed at 900, and a host that answers that there is no such queue. */
const goneBack = (denial: Omit<QueueLookup, 'status'>, changes: Partial<History> = {}): Partial<History> => ({
  jobs: [job({ sentToExtraQueueMs: 90 })],
  lookups: [{ ...denial, status: 404 }],
  extraQueueChanges: [{ atMs: -9000, exists: false }, { atMs: 50, exists: true }, { atMs: 900, exists: false }],
  ...changes
})

/** A job that was accepted by a key of version 5 before it could start, and an answer of the host that started it. */
const rotated = (answer: Partial<RotatedCall>, changes: Partial<History> = {}): Partial<History> => ({
  jobs: [job({ startsAfterMs: 150 })],
  rotatedCalls: [
    rotatedCall({ jobId: 'a', isSubmission: true, rotation: { ...ROTATION, fromVersion: 5 } }), rotatedCall({ sentMs: 600, answeredMs: 610, ...answer })
  ],
  ...changes
})
const ROTATION: Rotation = { key: 'k', path: '/k/', fromVersion: 4, toVersion: Infinity, removingMs: Infinity, removedMs: Infinity }
const rotatedCall = (changes: Partial<RotatedCall>): RotatedCall =>
  ({ hostName: 'host-0', jobId: '', isSubmission: false, isByQueue: false, rotation: ROTATION, sentMs: 100, answeredMs: 110, status: 200, ...changes })

const evacuations = [{ availabilityZone: 'z0', acknowledgedMs: 1000, withdrawnMs: 9000 }]
const twoSteps = [{ taskCount: 1, dependsOn: [], isLasting: false, maxAway: undefined }, { taskCount: 1, dependsOn: [0], isLasting: false, maxAway: undefined }]
const failures = (count: number): FleetRunRecord[] =>
  Array.from({ length: count }, (_, index) => runOf({ runNumber: index + 1, startedMs: index * 100, endedMs: index * 100 + 50, end: 'failed' }))
/** When the last failure that is allowed has ended. */
const LAST_FAILURE_MS = (QUEUE_ATTEMPTS - 1) * 100 + 50
const lasting = job({ steps: [{ taskCount: 2, dependsOn: [], isLasting: true, maxAway: 1 }], finalState: 'running' })

describe('checkPromises', () => {
  const broken: ReadonlyArray<{ promise: string, how: string, seen: History }> = [
    { promise: 'an accepted job is kept', how: 'it is never done', seen: history({ jobs: [job({ finalState: 'queued' })] }) },
    { promise: 'an accepted job is kept', how: 'no host knows it', seen: history({ jobs: [job({ finalState: 'unknown' })] }) },
    { promise: 'an accepted job is kept', how: 'it is cancelled without a request', seen: history({ jobs: [job({ finalState: 'cancelled' })] }) },
    { promise: 'an accepted job is known', how: 'a host does not know it 4 s later', seen: history({ jobs: [job({ unknownAtMs: [4200] })] }) },
    { promise: 'a refused job never runs', how: 'it runs', seen: history({ jobs: [job({ submitted: 'refused' })] }) },
    { promise: 'nothing runs unasked', how: 'a task of an unknown job runs', seen: history({ runs: [runOf(), runOf({ taskKey: 'b.0.0.0' })] }) },
    { promise: 'no task runs twice', how: 'two runs overlap', seen: history({ runs: [runOf(), runOf({ runNumber: 2, startedMs: 250, endedMs: 350 })] }) },
    { promise: 'no task runs twice', how: 'a run follows an acknowledged end', seen: history({ runs: [runOf(), runOf({ runNumber: 2, startedMs: 400, endedMs: 500 })] }) },
    {
      promise: 'steps run in their order',
      how: 'the second starts before the first is complete',
      seen: history({ jobs: [job({ steps: twoSteps })], runs: [runOf(), runOf({ taskKey: 'a.0.1.0', startedMs: 290, endedMs: 400 })] })
    },
    { promise: 'a cancelled job ends', how: 'a task starts 4 s later', seen: history({ jobs: [job({ cancelAcknowledgedMs: 200, isCancelSent: true })], runs: [runOf({ startedMs: 4300, endedMs: 4400 })] }) },
    { promise: 'a cancelled job ends', how: 'a task keeps running', seen: history({ jobs: [job({ cancelAcknowledgedMs: 200, isCancelSent: true })], runs: [runOf({ endedMs: undefined, end: undefined })] }) },
    {
      promise: 'no more lasting tasks away than allowed',
      how: 'one is stopped while another is away',
      seen: history({ jobs: [lasting], runs: [runOf({ end: 'stopped', endedMs: 300 }), runOf({ taskKey: 'a.0.0.1', end: 'stopped', endedMs: 400 })] })
    },
    { promise: 'one holder orders a machine', how: 'two do so within a second', seen: history({ orders: [order(), order({ holder: 'host-1', fencingToken: 6, atMs: 2000 })] }) },
    { promise: 'one holder orders a machine', how: 'the one with the older token orders later', seen: history({ orders: [order(), order({ holder: 'host-1', fencingToken: 4, atMs: 9000 })] }) },
    { promise: 'waves are bounded', how: 'three machines are down', seen: history({ orders: [order({ inUpkeep: 3 })] }) },
    { promise: 'a planned stop cuts nothing off', how: 'a request breaks after 500 ms', seen: history({ broken: [{ hostName: 'host-0', sentMs: 100, brokenMs: 600 }] }) },
    { promise: 'processes end only when told', how: 'one exits without a signal', seen: history({ ends: [{ hostName: 'host-0', signal: '', exitCode: 1, atMs: 100 }] }) },
    { promise: 'processes end only when told', how: 'a planned stop exits with 1', seen: history({ ends: [{ hostName: 'host-0', signal: 'SIGTERM', exitCode: 1, atMs: 100 }] }) },
    {
      promise: 'a submission is answered by no older configuration than the store held',
      how: 'its key was gone when it was sent',
      seen: history({ rotatedCalls: [rotatedCall({ isSubmission: true, rotation: { ...ROTATION, toVersion: 5, removingMs: 80, removedMs: 90 } })] })
    },
    {
      promise: 'no host goes back from a version',
      how: 'it accepts a key that was gone in the version by which it started a job',
      seen: history(rotated({ rotation: { ...ROTATION, toVersion: 5, removingMs: 50, removedMs: 60 } }))
    },
    { promise: 'no host goes back from a version', how: 'it denies a key of that version', seen: history(rotated({ rotation: { ...ROTATION, fromVersion: 5 }, status: 401 })) },
    { promise: 'no host goes back from a version', how: 'it denies a queue of that version', seen: history(rotated({ isByQueue: true, status: 404 })) },
    { promise: 'keys hold', how: 'a revoked key is accepted', seen: history({ keyProbes: [{ hostName: 'host-0', sentMs: 1, mayHold: false, mustHold: false, status: 200 }] }) },
    { promise: 'keys hold', how: 'a valid key is refused', seen: history({ keyProbes: [{ hostName: 'host-0', sentMs: 1, mayHold: true, mustHold: true, status: 401 }] }) },
    {
      promise: 'limits hold',
      how: 'an account with a limit of one runs two tasks',
      seen: history({ jobs: [job({ account: 'press' })], runs: [runOf(), runOf({ taskKey: 'a.0.0.1', startedMs: 250, endedMs: 350 })] })
    },
    {
      promise: 'limits hold',
      how: 'two tasks run long after the limit was lowered',
      seen: history({
        jobs: [job({ account: 'press' })],
        runs: [runOf({ startedMs: 9000, endedMs: 9300 }), runOf({ taskKey: 'a.0.0.1', startedMs: 9100, endedMs: 9200 })],
        limits: [{ atMs: -Infinity, tasks: 2 }, { atMs: 6000, tasks: 1 }]
      })
    },
    {
      promise: 'configuration holds and never goes back',
      how: 'a removed queue is served',
      seen: history({ probes: [{ hostName: 'host-0', sentMs: 100, mayExist: false, mayBeMissing: true, status: 200 }] })
    },
    {
      promise: 'configuration holds and never goes back',
      how: 'a configured queue is not found',
      seen: history({ probes: [{ hostName: 'host-0', sentMs: 100, mayExist: true, mayBeMissing: false, status: 404 }] })
    },
    {
      promise: 'a host knows the queues of the jobs that it starts',
      how: 'it denies the queue 300 ms later',
      seen: history(goneBack({ hostName: 'host-0', sentMs: 500, answeredMs: 510 }))
    },
    {
      promise: 'a job is accepted only while its queue exists',
      how: 'it is written after the queue was removed',
      seen: history({ jobs: [job({ sentToExtraQueueMs: 90 })], storedJobs: [{ jobId: 'a', revision: 21 }] })
    },
    {
      promise: 'a task that crashes workers is given up',
      how: 'it is started three more times',
      seen: history({ jobs: [job({ crashesWorkers: true, finalState: 'failed' })], runs: [1, 2, 3, 4, 5, 6].map((runNumber) => runOf({ runNumber, startedMs: runNumber * 100, endedMs: runNumber * 100 + 10, end: undefined })) })
    },
    ...[
      { how: 'a lasting one is, after a worker was lost', jobs: [{ ...lasting, failedAtMs: [900] }], runs: [runOf({ end: undefined }), runOf({ runNumber: 2, startedMs: 950, endedMs: undefined, end: undefined })] },
      { how: 'a lasting one is, after its runs failed', jobs: [{ ...lasting, failedAtMs: [9000] }], runs: failures(QUEUE_ATTEMPTS) },
      { how: 'it is, just before its last attempt failed', jobs: [job({ failedAtMs: [LAST_FAILURE_MS - 1, LAST_FAILURE_MS] })], runs: failures(QUEUE_ATTEMPTS) },
      { how: 'its runs failed once less than allowed', jobs: [job({ failedAtMs: [9000] })], runs: failures(QUEUE_ATTEMPTS - 1) },
      { how: 'the failures are those of two tasks', jobs: [job({ failedAtMs: [9000] })], runs: failures(QUEUE_ATTEMPTS).map((run, index) => ({ ...run, taskKey: `a.0.0.${index % 2}` })) }
    ].map(({ how, ...seen }) => ({ promise: 'no job is shown as failed without a cause', how, seen: history(seen) })),
    { promise: 'no host that lags goes back from what it has started', how: 'it counts a queue that is gone', seen: history({ lagAnswers: [lagAnswer, { ...lagAnswer, isOutdated: true }] }) },
    { promise: 'an evacuated zone gets no new runs', how: 'one starts there 6 s later', seen: history({ evacuations, runs: [runOf({ startedMs: 7000, endedMs: 7100 })] }) },
    { promise: 'no worker is overloaded', how: 'its capacity was reduced 5 s ago', seen: history({ overloads: [{ machineId: 'm', atMs: 6000, shrunkMs: 1000 }] }) }
  ]
  for (const { promise, how, seen } of broken) {
    it(`catches "${promise}" when ${how}`, () => {
      expect(checkPromises(seen).map((violation) => violation.promise)).to.deep.equal([promise])
    })
  }

  it('has a case for every promise', () => {
    expect([...new Set(broken.map(({ promise }) => promise))]).to.have.members(Object.keys(PROMISES))
  })

  const kept: ReadonlyArray<{ name: string, seen: History }> = [
    { name: 'a completed job', seen: history() },
    { name: 'a job that is shown as failed once its runs failed as often as allowed', seen: history({ jobs: [job({ failedAtMs: [LAST_FAILURE_MS] })], runs: failures(QUEUE_ATTEMPTS) }) },
    { name: 'a job that crashes workers and is shown as failed', seen: history({ jobs: [job({ crashesWorkers: true, failedAtMs: [900], finalState: 'failed' })] }) },
    { name: 'a job that is shown as failed after a submission with an unknown outcome', seen: history({ jobs: [job({ submitted: 'unknown', failedAtMs: [900], finalState: '' })] }) },
    { name: 'a run that is lost with its worker and repeated', seen: history({ runs: [runOf({ end: undefined, isAcknowledged: false }), runOf({ runNumber: 2, startedMs: 300, endedMs: 400 })] }) },
    ...[{ where: 'an evacuated zone within the bound', startedMs: 5900 }, { where: 'a zone after the withdrawal', startedMs: 9100 }, { where: 'another zone', startedMs: 7000, availabilityZone: 'z1' }]
      .map(({ where, ...start }) => ({ name: `a start in ${where}`, seen: history({ evacuations, runs: [runOf({ ...start, endedMs: start.startedMs + 100 })] }) })),
    { name: 'a host that denies an added queue within the slack', seen: history(goneBack({ hostName: 'host-0', sentMs: 440, answeredMs: 450 })) },
    { name: 'a job that is written before its queue is removed', seen: history({ jobs: [job({ sentToExtraQueueMs: 90 })], storedJobs: [{ jobId: 'a', revision: 19 }] }) },
    { name: 'a job that was sent before its queue was removed', seen: history({ jobs: [job({ sentToExtraQueueMs: 70 })], storedJobs: [{ jobId: 'a', revision: 21 }] }) },
    { name: 'another host that denies an added queue', seen: history(goneBack({ hostName: 'host-1', sentMs: 500, answeredMs: 510 })) },
    { name: 'a host that denies a queue as it is removed', seen: history(goneBack({ hostName: 'host-0', sentMs: 890, answeredMs: 910 })) },
    {
      name: 'the next process of a host that denies an added queue',
      seen: history(goneBack({ hostName: 'host-0', sentMs: 500, answeredMs: 510 }, { ends: [{ hostName: 'host-0', signal: 'SIGKILL', exitCode: null, atMs: 400 }] }))
    },
    { name: 'a job whose submission has an unknown outcome', seen: history({ jobs: [job({ submitted: 'unknown', finalState: '' })] }) },
    { name: 'a new holder that orders 4 s after the previous one', seen: history({ orders: [order(), order({ holder: 'host-1', fencingToken: 6, atMs: 5000 })] }) },
    {
      name: 'a lasting task that moves once the other one is back',
      seen: history({
        jobs: [lasting],
        runs: [
          runOf({ end: 'stopped', endedMs: 300 }), runOf({ runNumber: 2, startedMs: 350, endedMs: undefined, end: undefined }),
          runOf({ taskKey: 'a.0.0.1', end: 'stopped', endedMs: 400 })
        ]
      })
    }
  ]
  for (const { name, seen } of kept) {
    it(`accepts ${name}`, () => {
      expect(checkPromises(seen)).to.deep.equal([])
    })
  }
})
