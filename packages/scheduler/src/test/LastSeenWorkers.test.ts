import { expect } from 'chai'
import type { ListedMachine, MachineState, WorkerId } from '@quillscale/ports'
import { SchedulerMetrics } from '../lib/duties/SchedulerMetrics.js'
import { LastSeenWorkers } from '../lib/machines/LastSeenWorkers.js'
import { RecordReader } from '../lib/records/RecordReader.js'
import { sightingsKey } from '../lib/records/storeKeys.js'
import { TestLog } from './TestService.js'

const machine = (machineId: string, pool: string, workerId: string, state: MachineState = 'up'): ListedMachine =>
  ({ machineId, pool, state, availabilityZone: 'z', workerId: workerId as WorkerId })
const LIST = [machine('m2', 'a', 'i-2'), machine('m1', 'a', 'i-1'), machine('m3', 'b', 'i-3')]
const A = { key: sightingsKey('a'), value: '{"m1":"i-1","m2":"i-2"}' }
const B = { key: sightingsKey('b'), value: '{"m3":"i-3"}' }

describe('LastSeenWorkers', () => {
  const cases = [
    { name: 'all pools at first', list: LIST, atMs: 0, expected: [A, B] },
    { name: 'nothing within the minimum interval', list: [machine('m1', 'a', 'i-9')], atMs: 290, expected: [] },
    { name: 'nothing if nothing changed', list: [...LIST].reverse(), atMs: 2000, expected: [] },
    { name: 'a pool with an additional worker', list: [...LIST, machine('m4', 'b', 'i-4')], atMs: 4000, expected: [{ key: B.key, value: '{"m3":"i-3","m4":"i-4"}' }] },
    { name: 'no machine that is not up, and no pool without machines', list: [LIST[0] as ListedMachine, LIST[1] as ListedMachine, machine('m3', 'b', 'i-3', 'down')], atMs: 6000, expected: [{ key: B.key, value: undefined }] }
  ]
  it('writes the pools whose machines changed', () => {
    const record = new LastSeenWorkers()
    for (const { name, list, atMs, expected } of cases) expect(record.changesToWrite(list, atMs), name).to.deep.equal(expected)
    expect(record.changesToWrite(LIST, 6100, true), 'at a handover without delay').to.deep.equal([B])
  })

  it('restores the written pools, and does not write them again unchanged', () => {
    const record = new LastSeenWorkers()
    const restored = record.restore([A, B].map((item) => ({ ...item, modRevision: 1 })), new RecordReader(new TestLog(), new SchedulerMetrics()))
    expect([...restored.values()].map(({ machineId, pool, workerId }) => `${machineId} ${pool} ${workerId}`)).to.deep.equal(['m1 a i-1', 'm2 a i-2', 'm3 b i-3'])
    expect(record.changesToWrite(LIST, 0)).to.deep.equal([])
  })
})
