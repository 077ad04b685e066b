import { expect } from 'chai'
import { Ok, systemClock } from '@quillscale/utils'
import { createEntryHostId } from '@quillscale/model'
import { KEY_SHARD_COUNT, type OwnershipDocument } from '@quillscale/once'
import { OWNERSHIP_DOCUMENT } from '../lib/KeyShards.js'
import { OnceManager } from '../lib/OnceManager.js'
import { StateReplica } from '../lib/StateReplica.js'
import type { StateStore, UpdateResult } from '../lib/StateStore.js'

const self = { entryHostId: createEntryHostId('e0'), incarnation: 1 }
const other = { entryHostId: createEntryHostId('e1'), incarnation: 1, state: 'reachable' }

/** An entry host that owns every shard beside one that owns none, and a store whose first answer is lost without effect. */
function managerWithLostAnswer (): { manager: OnceManager, states: StateReplica, owned: () => OwnershipDocument['shards'] } {
  const states = new StateReplica()
  const answers: UpdateResult[] = ['unknown']
  const store = {
    update: async (name: string, decide: () => { revision: number } | undefined): Promise<UpdateResult> => {
      const next = decide()
      const answer = answers.shift() ?? (next === undefined ? 'not-changed' : 'changed')
      if (answer === 'changed' && next !== undefined) states.merge({ name, revision: next.revision, value: next })
      return answer
    }
  }
  const manager = new OnceManager({
    self,
    mesh: { members: () => [other], request: async () => Ok(true) } as never,
    states,
    store: store as unknown as StateStore,
    clock: systemClock,
    secrets: ['secret'],
    run: async () => ({ statusCode: 200, headers: [], body: Buffer.alloc(0) }),
    gone: () => new Set(),
    isStopping: () => false,
    table: {}
  })
  const shards = Array.from({ length: KEY_SHARD_COUNT }, () => ({ owner: self.entryHostId, incarnation: 1, completeSinceMs: 1 }))
  states.merge({ name: OWNERSHIP_DOCUMENT, revision: 1, value: { schemaVersion: 1, revision: 1, shards } })
  return { manager, states, owned: () => (states.get(OWNERSHIP_DOCUMENT)?.value as OwnershipDocument).shards }
}

describe('OnceManager', () => {
  it('leaves no shard without an owner after a hand-over with an unknown end', async () => {
    const { manager, owned } = managerWithLostAnswer()
    await manager.tick()
    expect(manager.ownedShards, 'while the end is unknown').to.be.below(KEY_SHARD_COUNT)
    await manager.tick()
    const named = owned().filter((owner) => owner?.owner === self.entryHostId).length
    expect(manager.ownedShards).to.equal(named)
    expect(named).to.be.below(KEY_SHARD_COUNT)
  })
})
