import { createServer, type Server } from 'node:http'
import { connect, createServer as createTcpServer, type AddressInfo, type Server as Relay, type Socket } from 'node:net'
import { expect } from 'chai'
import { delay, systemClock } from '@quillscale/utils'
import { createAvailabilityZone, createEntryHostId } from '@quillscale/model'
import { MembershipView } from '../lib/MembershipView.js'
import { PeerMesh, type PeerHandlers } from '../lib/PeerMesh.js'

const KEY = 'a-key-between-peers'

function createHandlers (): PeerHandlers {
  return {
    getOwnStatus: () => ({}),
    isStopping: () => false,
    onLinked: () => {},
    onHeartbeat: () => {},
    onNotice: () => {},
    onRequest: async (_peer, _topic, body) => body,
    onPeerError: () => {}
  }
}

async function startMesh (server: Server, name: string, port: number, seeds: string[]): Promise<PeerMesh> {
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const self = { entryHostId: createEntryHostId(name), availabilityZone: createAvailabilityZone('z'), incarnation: 1, address }
  const mesh = new PeerMesh({ self, keys: [KEY], seeds, clock: systemClock, heartbeatMs: 50, unreachableAfterMs: 200, redialMs: 10_000 }, createHandlers())
  mesh.attach(server)
  mesh.start()
  return mesh
}

/** Creates a TCP relay to a port. After `cut` it forwards nothing, but keeps its connections open. */
function createRelayTo (port: number): { relay: Relay, cut: () => void } {
  const sockets: Socket[] = []
  const relay = createTcpServer((inbound) => {
    const outbound = connect(port, '127.0.0.1')
    sockets.push(inbound, outbound)
    inbound.on('data', (chunk) => outbound.write(chunk)).on('error', () => {}).on('close', () => outbound.destroy())
    outbound.on('data', (chunk) => inbound.write(chunk)).on('error', () => {}).on('close', () => inbound.destroy())
  })
  return { relay, cut: () => { for (const socket of sockets) socket.pause() } }
}

describe('PeerMesh', () => {
  it('ends a request on a link that a network partition has silenced, long before its timeout', async () => {
    const [one, two] = [createServer(), createServer()]
    const second = await startMesh(two, 'b', 0, [])
    const { relay, cut } = createRelayTo((two.address() as AddressInfo).port)
    await new Promise<void>((resolve) => relay.listen(0, '127.0.0.1', resolve))
    const first = await startMesh(one, 'a', 0, [`127.0.0.1:${(relay.address() as AddressInfo).port}`])
    const peer = createEntryHostId('b')
    while (!first.isLinked(peer)) await delay(10)
    expect((await first.request(peer, 'echo', 5, 1000)).val).to.equal(5)
    cut()
    const raceResult = await Promise.race([first.request(peer, 'echo', 5, 60_000), delay(3000).then(() => 'waited')])
    expect(raceResult).to.not.equal('waited')
    await Promise.all([first.close(), second.close()])
    for (const server of [one, two, relay]) server.close()
  }).timeout(10_000)
})

describe('MembershipView', () => {
  const identity = { entryHostId: createEntryHostId('a'), availabilityZone: createAvailabilityZone('z'), incarnation: 5, address: 'x:1' }
  const cases: Array<[string, (view: MembershipView) => void, number, string | undefined]> = [
    ['is reachable while it sends heartbeats', (view) => view.recordHeartbeat(identity.entryHostId, false, {}, 1000), 2000, 'reachable'],
    ['is unreachable after a time without heartbeats', () => {}, 3501, 'unreachable'],
    ['is unreachable once its link has closed', (view) => view.recordLinkClosed(identity.entryHostId, 5), 100, 'unreachable'],
    ['stays reachable when a link of an older incarnation closes', (view) => view.recordLinkClosed(identity.entryHostId, 4), 100, 'reachable'],
    ['is leaving when its heartbeat says so', (view) => view.recordHeartbeat(identity.entryHostId, true, {}, 50), 100, 'leaving'],
    ['is forgotten after a long time without heartbeats', (view) => view.recordLinkClosed(identity.entryHostId, 5), 120_001, undefined]
  ]
  for (const [name, act, nowMs, state] of cases) {
    it(`${name}`, () => {
      const view = new MembershipView()
      view.recordLink(identity, 0)
      act(view)
      expect(view.members(nowMs)[0]?.state).to.equal(state)
    })
  }

  it('refuses a link from an incarnation that has been replaced', () => {
    const view = new MembershipView()
    view.recordLink(identity, 0)
    expect(view.recordLink({ ...identity, incarnation: 4 }, 1)).to.equal(false)
  })
})
