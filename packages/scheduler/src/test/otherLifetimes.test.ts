/** Guards against calls and answers that belong to another lifetime of a worker, or to another holder, where the fencing tokens of lifetimes do not help. */
import { expect } from 'chai'
import { delay, Err, systemClock } from '@quillscale/utils'
import type { RunStart } from '@quillscale/ports'
import type { StandInWorker } from '@quillscale/standins'
import { openFencedBatchWriter } from '../lib/records/openFencedBatchWriter.js'
import { chainKey, serviceDutyKey } from '../lib/records/storeKeys.js'
import { LateCallPlay, MAX_LEASE_MS, taskShapes, type TaskShape } from './LateCallPlay.js'
import { testJobId } from '@quillscale/policy/testing'
import { FaultyStore, SERVICE } from './TestService.js'

const lasting = taskShapes[0] as TaskShape
const UNANSWERED_MS = 30
const LATE_MS = 5000
const SLACK_MS = 1000
const CHAIN_KEY = chainKey(SERVICE)

const unanswered = async (): Promise<ReturnType<typeof Err<{ kind: 'unknown-effect', detail: string }>>> => {
  await delay(UNANSWERED_MS)
  return Err({ kind: 'unknown-effect', detail: 'no answer' })
}

describe('calls and answers of another lifetime or holder', () => {
  let play: LateCallPlay
  beforeEach(() => { play = new LateCallPlay() })
  afterEach(() => play.close())

  const firstWorker = (): StandInWorker => [...play.service.runs.workers.values()][0] as StandInWorker

  it('yield no token above that of the next holder, if that one wrote before this one has read the number of the last transaction', async () => {
    const store = new FaultyStore()
    const take = async (expectedModRevision: number): Promise<number> => {
      const taken = (await store.compareAndSwap({ key: 'duty', expectedModRevision, value: 'x' })).unwrap()
      return taken.swapped ? taken.modRevision : 0
    }
    const open = async (dutyRevision: number): ReturnType<typeof openFencedBatchWriter> => {
      const writer = await openFencedBatchWriter({
        store, clock: systemClock, dutyKey: 'duty', dutyRevision, chainKey: 'chain', onDeposed: () => {}, onStoreError: () => {}
      }, new AbortController().signal)
      void writer?.run()
      return writer
    }
    const ownToken = await take(0)
    const nextToken = await take(ownToken)
    const next = await open(nextToken)
    next?.put('k', () => 'v', true)
    await next?.flushed()
    const own = await open(ownToken)
    const yielded = await Promise.race([own?.revisionAbove(ownToken), delay(200).then(() => 'none')])
    next?.close()
    own?.close()
    expect(yielded, `token of the next holder: ${nextToken}`).to.equal('none')
  })

  it('stop no run of the next holder: a former one reads the number of the last transaction late, and the store refuses its writes', async () => {
    const { service, service: { store } } = play
    const get = store.get.bind(store)
    let letPass = (): void => {}
    const heldUp = new Promise<void>((resolve) => { letPass = resolve })
    let isFirst = true
    store.get = async (key) => {
      if (key === CHAIN_KEY && isFirst) {
        isFirst = false
        await heldUp
      }
      return await get(key)
    }
    const former = await service.takeOver()
    await delay(100)
    await service.takeOver()
    await service.until('the next holder has written', async () => (await get(CHAIN_KEY)).unwrap() !== undefined)
    await delay(1500)
    const transact = store.transact.bind(store)
    const isFormer = ({ key, modRevision }: { readonly key: string, readonly modRevision: number }): boolean =>
      key === serviceDutyKey(SERVICE) && modRevision === former.fencingToken
    store.transact = async (transaction) => transaction.conditions.some(isFormer)
      ? Err({ kind: 'unavailable', detail: 'this host is turned away' })
      : await transact(transaction)
    former.holdsDuty = false
    letPass()
    await service.until('the former holder has met the worker', () => service.log.lines.filter((line) => line.startsWith('worker met')).length === 2)
    service.restartWorker(firstWorker()).maxLeaseMs = MAX_LEASE_MS
    await delay(500)
    await service.submit(1, { runMs: 0 }, [lasting.step])
    await delay(2500)
    expect(service.runs.records.length, service.log.lines.slice(-12).join('\n')).to.equal(1)
  }).timeout(15_000)

  for (const kind of ['start', 'hold'] as const) {
    it(`make no task run twice: a late ${kind} extends the lease of a lifetime that nobody has met, and that took another start before`, async () => {
      const { service, service: { runs } } = play
      await service.takeOver()
      await service.until('the worker is connected', () => service.log.lines.some((line) => line.startsWith('worker met')))
      const worker = firstWorker()
      worker.maxLeaseMs = MAX_LEASE_MS
      const held = kind === 'hold' ? play.holdBack('hold', worker) : undefined
      if (held !== undefined) await service.until('a hold is on its way', held.isSent)
      const start = runs.start.bind(runs)
      let next: StandInWorker | undefined
      runs.start = async (instance, order: RunStart) => {
        if (!instance.instanceId.startsWith('w0')) return await start(instance, order)
        if (next === undefined) {
          next = service.restartWorker(worker, false)
          next.maxLeaseMs = MAX_LEASE_MS
          next.faults.isSilent = true
        }
        const reached = next
        if (order.taskKey.startsWith(testJobId(1))) return reached.start(order)
        setTimeout(() => reached.start(order), LATE_MS).unref()
        return await unanswered()
      }
      await service.submit(1, { runMs: 0 }, [lasting.step])
      await service.until('it runs', () => play.runningOf(1) === 1)
      if (kind === 'start') await service.submit(2, { runMs: 0 }, [lasting.step])
      else {
        const reached = next as unknown as StandInWorker
        setTimeout(() => {
          reached.faults.isSilent = false
          void held?.arriveAt(reached)
          reached.faults.isSilent = true
        }, LATE_MS).unref()
      }
      await delay(1700)
      service.addWorker(1, 1).maxLeaseMs = MAX_LEASE_MS
      await delay(MAX_LEASE_MS + SLACK_MS)
      expect(service.duplicatedTasks, service.log.lines.slice(-12).join('\n')).to.deep.equal([])
    }).timeout(30_000)
  }

  for (const isCutOff of [false, true]) {
    it(`make no task run twice: the first attempt of a start that was repeated reaches the next lifetime${isCutOff ? ', which is cut off' : ''}`, async () => {
      const { service, service: { runs } } = play
      await service.takeOver()
      const worker = firstWorker()
      const start = runs.start.bind(runs)
      let first: RunStart | undefined
      runs.start = async (instance, order: RunStart) => {
        if (first !== undefined) return await start(instance, order)
        first = order
        return await unanswered()
      }
      await service.submit(1, { runMs: 0 }, [lasting.step])
      await service.until('it runs', () => play.runningOf(1) === 1)
      service.addWorker(1, 1).maxLeaseMs = MAX_LEASE_MS
      await delay(2500)
      const next = service.restartWorker(worker, false)
      next.maxLeaseMs = MAX_LEASE_MS
      next.start(first as unknown as RunStart)
      next.faults.isSilent = isCutOff
      setTimeout(() => service.list(next.instance), 300).unref()
      await delay(isCutOff ? MAX_LEASE_MS : 2000)
      expect(service.duplicatedTasks, service.log.lines.slice(-12).join('\n')).to.deep.equal([])
    }).timeout(20_000)
  }

  it('leave no run behind when its job is cancelled: an attempt of its start is refused after the next lifetime has listed it', async () => {
    const { service, service: { runs } } = play
    await service.takeOver()
    const worker = firstWorker()
    const start = runs.start.bind(runs)
    let next: StandInWorker | undefined
    let attempts = 0
    runs.start = async (instance, order: RunStart) => {
      attempts++
      if (attempts === 1) {
        next = service.restartWorker(worker, false)
        next.maxLeaseMs = MAX_LEASE_MS
        next.start(order)
        // The holder does not meet it before the second attempt is on its way.
        next.faults.isSilent = true
        return await unanswered()
      }
      const reached = next as StandInWorker
      if (attempts > 2) return await start(instance, order)
      reached.faults.isSilent = false
      service.list(reached.instance)
      await service.until('the next lifetime is met', () => service.log.lines.filter((line) => line.startsWith('worker met')).length === 2)
      await delay(300)
      return await reached.call(instance.instanceId, () => reached.start(order))
    }
    await service.submit(1, { runMs: 0 }, [lasting.step])
    await delay(2500)
    expect(attempts).to.equal(2)
    expect(play.runningOf(1)).to.equal(1)
    expect(await service.jobApi.cancel(testJobId(1), [SERVICE], performance.now() + 1000)).to.equal('accepted')
    await delay(2500)
    expect(play.runningOf(1), service.log.lines.slice(-12).join('\n')).to.equal(0)
  }).timeout(15_000)

  it('leave no run behind when its job is cancelled: a stop to the previous lifetime had no answer, and the next one runs the task', async () => {
    const { service, service: { runs } } = play
    await service.takeOver()
    const worker = firstWorker()
    const start = runs.start.bind(runs)
    const stop = runs.stop.bind(runs)
    let next: StandInWorker | undefined
    runs.start = async (instance, order: RunStart) => {
      if (next !== undefined) return await start(instance, order)
      next = service.restartWorker(worker, false)
      next.maxLeaseMs = MAX_LEASE_MS
      next.start(order)
      next.faults.isSilent = true
      return await unanswered()
    }
    runs.stop = async (instance, run, token) => instance.instanceId === worker.instance.instanceId ? await unanswered() : await stop(instance, run, token)
    await service.submit(1, { runMs: 0 }, [lasting.step])
    await service.until('it runs', () => play.runningOf(1) === 1)
    expect(await service.jobApi.cancel(testJobId(1), [SERVICE], performance.now() + 1000)).to.equal('accepted')
    await delay(300)
    const reached = next as unknown as StandInWorker
    reached.faults.isSilent = false
    service.list(reached.instance)
    await delay(3000)
    expect(play.runningOf(1), service.log.lines.slice(-12).join('\n')).to.equal(0)
  }).timeout(15_000)
})
