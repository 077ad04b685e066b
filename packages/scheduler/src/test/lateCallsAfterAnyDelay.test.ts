/**
 * Guards against a task that runs twice because a call to the previous lifetime of a worker reaches the next one later than any bound on delays allows:
 * no bound is part of the protocol, so the next lifetime itself has to reject the call.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import { testJobId } from '@quillscale/policy/testing'
import { MAX_LEASE_MS, playAll, taskShapes, type LateCall, type LateCallCase, type TaskShape } from './LateCallPlay.js'

/** The longest lease of another deployment, where leases are granted for a larger part of it. */
const SHORT_MAX_LEASE_MS = 6000
const SLACK_MS = 1000
const ALLOWANCE_MS = 2000

const hold: LateCall = { name: 'a hold', kind: 'hold', isEarly: false }
const start: LateCall = { name: 'a start that is refused', kind: 'start', isEarly: false }

const lasting = taskShapes[0] as TaskShape
const delays = [{ late: hold, lateMs: 15_000 }, { late: start, lateMs: 15_000 }, { late: hold, lateMs: 40_000 }]
const cases: readonly LateCallCase[] = [
  ...delays.flatMap(({ late, lateMs }) => taskShapes.map((shape): LateCallCase => ({
    name: `make no task run twice: ${late.name}, ${lateMs} ms late, ${shape.name}`,
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(late, shape, lateMs))
      await delay(MAX_LEASE_MS + SLACK_MS)
    }
  }))),
  {
    name: 'make no task run twice where the longest lease is shorter',
    maxLeaseMs: SHORT_MAX_LEASE_MS,
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(hold, lasting, 15_000))
      await delay(SHORT_MAX_LEASE_MS + SLACK_MS)
    }
  },
  {
    name: 'make no task run twice if another holder takes over as the worker is cut off',
    play: async (play) => {
      const tenure = await play.service.takeOver()
      play.cutOff(await play.restartUnder(hold, lasting, 15_000))
      tenure.scheduler.close()
      await play.service.takeOver()
      await delay(MAX_LEASE_MS + SLACK_MS)
    }
  },
  {
    name: 'make no task run again after its end: the call is the one that acknowledges the ends of the previous lifetime',
    play: async (play) => {
      const { service } = play
      await service.takeOver()
      const former = [...service.runs.workers.values()][0]
      if (former === undefined) throw new Error('no worker')
      const held = play.holdBack('hold', former, ({ acknowledgedSequence }) => acknowledgedSequence > 0)
      await service.submit(1, { runMs: 50 }, [{ taskCount: 3 }])
      await service.until('the acknowledgement is on its way', held.isSent)
      const next = service.restartWorker(former)
      await service.submit(2, { runMs: 1600 })
      await service.until('the next lifetime runs a task', () => play.runningOf(2) === 1)
      next.faults.isSilent = true
      await service.until('the task has ended', () => play.runningOf(2) === 0)
      next.faults.isSilent = false
      await held.arriveAt(next)
      await service.untilStatus(testJobId(2), 'succeeded')
    }
  },
  {
    name: 'delay the next start by no more than the longest lease once the next lifetime has reported',
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(hold, lasting, 1000))
      await play.service.until('another worker runs it', () => play.onOtherWorker, MAX_LEASE_MS + ALLOWANCE_MS)
    }
  }
]

describe('calls to the previous lifetime of a worker that arrive after any delay', () => {
  let outcomes: ReturnType<typeof playAll>
  before(() => { outcomes = playAll(cases) })

  for (const { name } of cases) {
    it(name, async () => {
      expect(await outcomes.get(name)).to.deep.equal([])
    }).timeout(90_000)
  }
})
