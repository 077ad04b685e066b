import { EventEmitter } from 'node:events'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { systemClock } from '@quillscale/utils'
import { ChunkMeter } from '../lib/ChunkMeter.js'
import type { ClientConnection, ClosingReason } from '../lib/ClientConnection.js'
import { deriveIngressLimits } from '../lib/deriveIngressLimits.js'
import { IngressBudget } from '../lib/IngressBudget.js'

const KB = 1024
const MB = KB * KB

/** A connection that only tells whether it was closed. */
class FakeSocket extends EventEmitter {
  isDestroyed = false
  destroy (): void {
    this.isDestroyed = true
    this.emit('close')
  }
}

/** A budget with connections that are opened one after the other, a millisecond apart. */
class BudgetPlay {
  readonly reasons: ClosingReason[] = []
  readonly sockets: FakeSocket[] = []
  readonly budget: IngressBudget
  nowMs = 0

  constructor (maxConnections: number, maxHeldBytes: number) {
    const clock = { ...systemClock, monotonicMs: () => this.nowMs }
    const limits = { maxConnections, maxHeldBytes, maxRequestsAhead: 4 }
    this.budget = new IngressBudget({ limits, clock, onClosed: ({ reason }) => this.reasons.push(reason) })
  }

  open (): ClientConnection {
    const socket = new FakeSocket()
    this.sockets.push(socket)
    this.budget.add(socket as unknown as Socket, this.sockets.length)
    return this.budget.connectionOf(socket as unknown as Socket) as ClientConnection
  }

  get closed (): number[] {
    return this.sockets.flatMap(({ isDestroyed }, index) => isDestroyed ? [index] : [])
  }
}

const request = (complete: boolean): IncomingMessage => ({ complete }) as IncomingMessage

describe('IngressBudget', () => {
  it('closes the connection that has been quiet for the longest when there are too many', () => {
    const play = new BudgetPlay(2, MB)
    for (let count = 0; count < 4; count++) play.open()
    expect(play.closed).to.deep.equal([0, 1])
    expect(play.reasons).to.deep.equal(['connections', 'connections'])
  })

  it('closes connections whose bodies are not complete before those that are being served', () => {
    const play = new BudgetPlay(3, MB)
    play.open().beginRequest(request(true), 1)
    play.open().beginRequest(request(false), 2)
    play.open().beginRequest(request(true), 3)
    play.open()
    expect(play.closed).to.deep.equal([1])
  })

  it('closes the connection that holds the most when all together hold too much', () => {
    const play = new BudgetPlay(100, 200 * KB)
    play.open().hold(20 * KB)
    play.open().hold(120 * KB)
    play.open().hold(30 * KB)
    play.budget.enforce()
    expect(play.closed).to.deep.equal([1])
    expect(play.reasons).to.deep.equal(['memory'])
  })

  it('closes many that wait with a little each before one that goes on with much', () => {
    const play = new BudgetPlay(100, 300 * KB)
    for (let count = 0; count < 4; count++) play.open().hold(24 * KB)
    play.nowMs = 2000
    const large = play.open()
    large.beginRequest(request(false), play.nowMs)
    large.hold(200 * KB)
    play.budget.enforce()
    expect(play.closed).to.include(0)
    expect(play.closed).not.to.include(4)
  })

  it('counts nothing of a connection that was closed', () => {
    const play = new BudgetPlay(100, MB)
    const connection = play.open()
    connection.hold(50 * KB)
    play.sockets[0]?.destroy()
    connection.release(50 * KB)
    connection.hold(10 * KB)
    expect(play.budget).to.deep.include({ heldBytes: 0, connections: 0 })
  })

  // Guards against memory that grows with each request of a connection that stays open.
  it('keeps nothing of a wait that has ended, and ends those of a closed connection', async () => {
    const connection = new BudgetPlay(100, MB).open()
    for (let count = 0; count < 100; count++) expect(await connection.whileOpen(Promise.resolve('answer'), 'closed')).to.equal('answer')
    await new Promise((resolve) => setImmediate(resolve))
    expect(connection.waits).to.equal(0)
    const wait = connection.whileOpen(new Promise<string>(() => {}), 'closed')
    connection.close('memory')
    expect(await wait).to.equal('closed')
    expect(connection.waits).to.equal(0)
    expect(await connection.whileOpen(new Promise<string>(() => {}), 'closed')).to.equal('closed')
  })

  it('reserves no memory beyond its limit, and closes nothing for it', () => {
    const play = new BudgetPlay(100, 100 * KB)
    const connection = play.open()
    expect(play.budget.tryReserve(connection, 200 * KB)).to.equal(false)
    expect(play.budget.tryReserve(connection, 50 * KB)).to.equal(true)
    expect(play.closed).to.deep.equal([])
  })

  it('serves the requests of a connection one after the other, and none after it was closed', async () => {
    const play = new BudgetPlay(100, MB)
    const connection = play.open()
    const served: number[] = []
    const finish: Array<() => void> = []
    for (const number of [1, 2, 3]) {
      connection.beginRequest(request(true), number)
      connection.serveInTurn(async () => {
        served.push(number)
        await new Promise<void>((resolve) => finish.push(resolve))
      })
    }
    expect(served).to.deep.equal([1])
    finish[0]?.()
    await new Promise((resolve) => setImmediate(resolve))
    expect(served).to.deep.equal([1, 2])
    connection.close('memory')
    finish[1]?.()
    await new Promise((resolve) => setImmediate(resolve))
    expect(served).to.deep.equal([1, 2])
  })
})

describe('ChunkMeter', () => {
  it('lets the largest body come in chunks of one byte at once, and then fewer', () => {
    const count = new ChunkMeter().countBody()
    const pauses = Array.from({ length: 400_000 }, () => count(1, 0)).filter((pauseMs) => pauseMs > 0)
    expect(pauses).to.have.length.within(99_000, 101_000)
    expect(count(1, 3000)).to.equal(0)
    expect(count(1000, 0)).to.equal(0)
  })

  it('slows no body with few small chunks down for those of others', () => {
    const meter = new ChunkMeter()
    const count = meter.countBody()
    for (let chunks = 0; chunks < 400_000; chunks++) count(1, 0)
    const countOrdinary = meter.countBody()
    expect(Array.from({ length: 1000 }, () => countOrdinary(1, 0)).every((pauseMs) => pauseMs === 0)).to.equal(true)
  })
})

describe('deriveIngressLimits', () => {
  const cases = [
    { machine: { memoryMb: 100, maxDescriptors: 250, heapMb: 220 }, heldMb: 8, connections: 25 },
    { machine: { memoryMb: 250, maxDescriptors: 4100, heapMb: 220 }, heldMb: 30.5, connections: 1950 },
    { machine: { memoryMb: 350, maxDescriptors: 4100, heapMb: 220 }, heldMb: 55.5, connections: 1950 },
    { machine: { memoryMb: 602, maxDescriptors: 8192, heapMb: 220 }, heldMb: 66, connections: 3996 },
    { machine: { memoryMb: 350, maxDescriptors: 100, heapMb: 220 }, heldMb: 55.5, connections: 1 }
  ]
  for (const { machine, heldMb, connections } of cases) {
    it(`lets clients hold ${heldMb} MB and ${connections} connections of ${machine.memoryMb} MB and ${machine.maxDescriptors} descriptors`, () => {
      expect(deriveIngressLimits(machine)).to.deep.include({ maxHeldBytes: heldMb * MB, maxConnections: connections })
    })
  }
})
