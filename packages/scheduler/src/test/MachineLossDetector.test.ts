import { expect } from 'chai'
import type { ListedMachine, MachineState, WorkerId } from '@quillscale/ports'
import { MachineLossDetector } from '../lib/machines/MachineLossDetector.js'

type List = Map<string, ListedMachine>

const listOf = (state: MachineState, workerId: WorkerId | ''): List =>
  new Map([['m1', { machineId: 'm1', pool: 'checks', state, availabilityZone: 'z', workerId }]])
const UP = listOf('up', 'i-1' as WorkerId)
const DOWN = listOf('down', '')
const ABSENT: List = new Map()

describe('MachineLossDetector', () => {
  const cases: ReadonlyArray<{ name: string, lists: readonly List[], expected: readonly string[] }> = [
    { name: 'a machine that stays up', lists: [UP, UP], expected: [] },
    { name: 'a machine that goes down', lists: [UP, DOWN, DOWN], expected: ['i-1'] },
    { name: 'a machine that was down when first listed', lists: [DOWN, DOWN], expected: [] },
    { name: 'a machine that is moved', lists: [UP, listOf('moving', ''), listOf('up', 'i-2' as WorkerId)], expected: [] },
    { name: 'a machine that is maintained', lists: [UP, listOf('upkeep', ''), listOf('up', 'i-2' as WorkerId)], expected: [] },
    { name: 'a machine that has a different worker', lists: [UP, listOf('up', 'i-2' as WorkerId)], expected: [] },
    { name: 'a machine that is missing from one list', lists: [UP, ABSENT, UP], expected: [] },
    { name: 'a machine that was removed', lists: [UP, ABSENT, ABSENT, ABSENT], expected: ['i-1'] },
    { name: 'a machine that goes down and is removed', lists: [UP, DOWN, ABSENT, ABSENT], expected: ['i-1'] },
    { name: 'a machine that goes down twice', lists: [UP, DOWN, listOf('up', 'i-2' as WorkerId), DOWN], expected: ['i-1', 'i-2'] }
  ]
  const restored: typeof cases = [
    { name: 'a machine that a previous holder listed with a different worker', lists: [UP, listOf('up', 'i-2' as WorkerId), listOf('up', 'i-2' as WorkerId)], expected: ['i-1'] },
    { name: 'a machine that a previous holder listed unchanged', lists: [UP, UP], expected: [] },
    { name: 'a machine whose pool is switched off now', lists: [UP, listOf('up', '')], expected: [] },
    { name: 'a machine that is being moved when first listed', lists: [UP, listOf('moving', ''), listOf('up', 'i-2' as WorkerId)], expected: [] }
  ]
  for (const { name, lists: [restoredList, ...lists], expected } of restored) {
    it(`reports ${expected.length} lost workers for ${name}`, () => {
      const detector = new MachineLossDetector()
      detector.restore(restoredList ?? new Map())
      expect(lists.flatMap((list) => detector.detect(list)).map(({ workerId }) => workerId)).to.deep.equal(expected)
    })
  }

  for (const { name, lists, expected } of cases) {
    it(`reports ${expected.length} lost workers for ${name}`, () => {
      const detector = new MachineLossDetector()
      expect(lists.flatMap((list) => detector.detect(list)).map(({ workerId }) => workerId)).to.deep.equal(expected)
    })
  }
})
