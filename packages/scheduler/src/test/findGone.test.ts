import { expect } from 'chai'
import type { ListedMachine, MachineState } from '@quillscale/ports'
import { findGone } from '../lib/findGone.js'

const listOf = (state: MachineState, instanceId: string): Map<string, ListedMachine> =>
  new Map([['m1', { machineId: 'm1', pool: 'checks', state, availabilityZone: 'z', instanceId }]])

describe('findGone', () => {
  const cases = [
    { name: 'a machine that is up as before', before: listOf('up', 'i-1'), now: listOf('up', 'i-1'), expected: [] },
    { name: 'a machine that went down', before: listOf('up', 'i-1'), now: listOf('down', ''), expected: ['i-1'] },
    { name: 'a machine that was down before', before: listOf('down', ''), now: listOf('down', ''), expected: [] },
    { name: 'a machine that is being moved', before: listOf('up', 'i-1'), now: listOf('moving', ''), expected: [] },
    { name: 'a machine that is kept up', before: listOf('up', 'i-1'), now: listOf('upkeep', ''), expected: [] },
    { name: 'a machine that has another worker', before: listOf('up', 'i-1'), now: listOf('up', 'i-2'), expected: [] },
    { name: 'a machine that is not listed', before: listOf('up', 'i-1'), now: new Map<string, ListedMachine>(), expected: [] },
    { name: 'nothing listed before', before: new Map<string, ListedMachine>(), now: listOf('down', ''), expected: [] }
  ]
  for (const { name, before, now, expected } of cases) {
    it(`finds ${expected.length} of ${name}`, () => {
      expect(findGone(before, now).map(({ instanceId }) => instanceId)).to.deep.equal(expected)
    })
  }
})
