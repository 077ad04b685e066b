/**
 * Guards against workers that start again under their id and are never used again, while jobs wait that they could run.
 */
import { expect } from 'chai'
import { delay } from '@quillscale/utils'
import type { StandInWorker } from '@quillscale/standins'
import { goneKey } from '../lib/records/storeKeys.js'
import { SERVICE, TestService } from './TestService.js'

/** Until the list of machines shows that one was down. */
const NOTICED_MS = 100
const WORKERS = 3

describe('workers that start again under their id', () => {
  let service: TestService
  afterEach(() => service.close())

  /** Every worker ends and is back at once: its registration goes on. The holder of machines tells that its machine was down. */
  async function restartAll (): Promise<StandInWorker[]> {
    const ended = [...service.runs.workers.values()]
    const restarted = ended.map((worker) => service.restartWorker(worker))
    await delay(NOTICED_MS)
    for (const { instance } of ended) service.write(goneKey(SERVICE, instance.instanceId), instance.machineId)
    return restarted
  }

  it('are given work again after their machines were down, although their registrations never ended', async () => {
    service = new TestService(WORKERS)
    await service.takeOver()
    const before = await service.submit(1, { runMs: 50 })
    await service.untilStatus(before, 'succeeded')
    const restarted = await restartAll()
    await delay(NOTICED_MS)
    const after = await service.submit(2, { runMs: 50 }, [{ taskCount: WORKERS }])
    await service.untilStatus(after, 'succeeded')
    expect(restarted.flatMap(({ records }) => records).length).to.equal(WORKERS)
    expect(service.doubled).to.deep.equal([])
  })
})
