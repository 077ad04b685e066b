import { expect } from 'chai'
import { createHostId } from '@quillscale/model'
import { EMPTY_ZONE_HOSTS, type HostWork, type ZoneHost, type ZoneHostsDocument } from '../lib/fleetDocuments.js'
import { failWork, finishWork } from '../lib/finishWork.js'

const HOST = createHostId('w1')
const NOW_MS = 9000
const MOVE: HostWork = { moveTo: 'b', phase: 'verifying', sinceMs: 5000, startedMs: 1000 }
const MAINTENANCE: HostWork = { maintenance: 'image', wantedVersion: '2', phase: 'verifying', sinceMs: 5000, startedMs: 1000 }

function zoneWith (work: HostWork, document: Partial<ZoneHostsDocument> = {}): { document: ZoneHostsDocument, host: ZoneHost & { work: HostWork } } {
  const host = { pool: 'a', work }
  return { document: { ...EMPTY_ZONE_HOSTS, hosts: { [HOST]: host }, ...document }, host }
}

describe('finishWork', () => {
  const cases: Array<[string, HostWork, Partial<ZoneHostsDocument>, Partial<ZoneHostsDocument>]> = [
    ['gives a moved host its pool, and no wave counts it', MOVE, {}, { hosts: { [HOST]: { pool: 'b' } }, movesDone: 1, waves: {} }],
    ['counts the first host of a wave', MAINTENANCE, {}, { hosts: { [HOST]: { pool: 'a' } }, movesDone: 0, waves: { 'image@2': { done: 1, failedRacks: [] } }, hostTimeMs: 8000 }],
    ['counts a further one, and learns the usual time by a fifth', MAINTENANCE, { waves: { 'image@2': { done: 3, failedRacks: ['r1'] } }, hostTimeMs: 3000 },
      { waves: { 'image@2': { done: 4, failedRacks: ['r1'] } }, hostTimeMs: 4000 }],
    ['does both for a host that was moved by its maintenance', { ...MAINTENANCE, moveTo: 'b' }, {}, { hosts: { [HOST]: { pool: 'b' } }, movesDone: 1, waves: { 'image@2': { done: 1, failedRacks: [] } } }]
  ]
  for (const [name, work, before, after] of cases) {
    it(name, () => {
      const { document, host } = zoneWith(work, before)
      expect(finishWork(document, HOST, host, work, NOW_MS)).to.deep.include(after)
    })
  }
})

describe('failWork', () => {
  const cases: Array<[string, HostWork, Partial<ZoneHostsDocument>, Partial<ZoneHostsDocument>]> = [
    ['leaves a host that could not be moved to a person', MOVE, {}, { hosts: { [HOST]: { pool: 'a', work: { ...MOVE, phase: 'failed' } } }, waves: {} }],
    ['counts the failure domain of the first host of a wave', MAINTENANCE, {},
      { hosts: { [HOST]: { pool: 'a', work: { ...MAINTENANCE, phase: 'failed', sinceMs: NOW_MS } } }, waves: { 'image@2': { done: 0, failedRacks: ['r2'] } } }],
    ['counts a further one, and the same domain again', MAINTENANCE, { waves: { 'image@2': { done: 3, failedRacks: ['r2'] } } }, { waves: { 'image@2': { done: 3, failedRacks: ['r2', 'r2'] } } }]
  ]
  for (const [name, work, before, after] of cases) {
    it(name, () => {
      const { document, host } = zoneWith(work, before)
      expect(failWork(document, HOST, host, 'r2', NOW_MS)).to.deep.include(after)
    })
  }
})
