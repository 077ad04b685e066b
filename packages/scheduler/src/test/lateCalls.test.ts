/**
 * Guards against a task that runs twice because a call that was meant for the previous lifetime of a worker extends the lease of the next one: the header
 * that names the worker is the same for both, and the lease end is on another clock, so that the next lifetime grants the longest lease that it accepts.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import { testJobId } from '@quillscale/policy/testing'
import { MAX_LEASE_MS, playAll, taskShapes, type LateCall, type LateCallCase, type TaskShape } from './LateCallPlay.js'

/** Calls without an answer are carried out up to this much later. */
const LATE_CALL_MS = 12_000
const ALLOWANCE_MS = 2000
/** Several holds, of which the first acknowledges all ends. */
const ACKNOWLEDGED_MS = 2500

const lateCalls: readonly LateCall[] = [
  { name: 'a hold, once the next lifetime runs the task', kind: 'hold', isEarly: false },
  { name: 'a hold, before the next lifetime is met', kind: 'hold', isEarly: true },
  { name: 'a start that is refused, once the next lifetime runs the task', kind: 'start', isEarly: false }
]

const lasting = taskShapes[0] as TaskShape
const LEASES_MS = MAX_LEASE_MS + 1000
const cases: readonly LateCallCase[] = [
  ...lateCalls.flatMap((late) => taskShapes.map((shape): LateCallCase => ({
    name: `make no task run twice once the next one is cut off: ${late.name}, ${shape.name}`,
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(late, shape))
      await delay(LEASES_MS)
    }
  }))),
  ...lateCalls.map((late): LateCallCase => ({
    name: `make no task run twice if another holder takes over as the next one is cut off: ${late.name}`,
    play: async (play) => {
      const tenure = await play.service.takeOver()
      play.cutOff(await play.restartUnder(late, lasting))
      tenure.scheduler.close()
      await play.service.takeOver()
      await delay(LEASES_MS)
    }
  })),
  {
    name: 'delay the next start by no more than the time in which they can arrive, and the longest lease',
    play: async (play) => {
      await play.service.takeOver()
      play.cutOff(await play.restartUnder(lateCalls[0] as LateCall, lasting))
      await play.service.until('another worker runs it', () => play.onOtherWorker, LATE_CALL_MS + MAX_LEASE_MS + ALLOWANCE_MS)
    }
  },
  {
    name: 'make no task run again after its end: the late call acknowledges ends of the former lifetime',
    play: async (play) => {
      const { service } = play
      await service.takeOver()
      const former = await play.startJob({ name: '', runMs: 50, step: { taskCount: 3 } })
      await service.untilStatus(testJobId(1), 'succeeded')
      await delay(ACKNOWLEDGED_MS)
      const held = play.holdBack('hold', former)
      await service.until('a call is on its way', held.isSent)
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
    name: 'do not delay the next start of a task whose worker did not restart',
    play: async (play) => {
      await play.service.takeOver()
      const worker = await play.startJob(lasting)
      await delay(500)
      play.cutOff(worker)
      await play.service.until('another worker runs it', () => play.onOtherWorker, MAX_LEASE_MS + ALLOWANCE_MS)
    }
  }
]

describe('calls to the previous lifetime of a worker that arrive late', () => {
  let outcomes: ReturnType<typeof playAll>
  before(() => { outcomes = playAll(cases) })

  for (const { name } of cases) {
    it(name, async () => {
      expect(await outcomes.get(name)).to.deep.equal([])
    }).timeout(60_000)
  }
})
