import type { Server } from 'node:http'
import { connect } from 'node:net'
import { listen, systemClock } from '@quillscale/utils'
import { expect } from 'chai'
import { ChunkMeter, type ChunkLimits } from '../lib/ChunkMeter.js'
import { collectBody } from '../lib/collectBody.js'
import { createIngressServer } from '../lib/createIngressServer.js'
import { IngressBudget } from '../lib/IngressBudget.js'

const MB = 1024 * 1024
/** Chunks of the largest body, for which the limits below have the proportions of the default ones. */
const BODY_CHUNKS = 20_000
const LIMITS: ChunkLimits = { burst: 23_000, perSecond: 100_000, maxDebt: 60_000 }

describe('ChunkMeter', () => {
  const countedPauseMs = (chunks: number, everyMs: number, bytes = 1): number => {
    const count = new ChunkMeter({ burst: 5000, perSecond: 1000, maxDebt: 10_000 }).countBody()
    return Array.from({ length: chunks }, (_, at) => count(bytes, at * everyMs)).at(-1) ?? 0
  }
  interface Case { readonly name: string, readonly chunks: number, readonly everyMs?: number, readonly bytes?: number, readonly pauseMs: number }
  const cases: readonly Case[] = [
    { name: 'a burst is read at once', chunks: 5000, pauseMs: 0 },
    { name: 'what exceeds it waits until it is made up for', chunks: 5500, pauseMs: 500 },
    { name: 'chunks at the rate are read at once', chunks: 20_000, everyMs: 1, pauseMs: 0 },
    { name: 'chunks at twice the rate wait', chunks: 12_000, everyMs: 0.5, pauseMs: 1000 },
    { name: 'large chunks do not count', chunks: 50_000, bytes: 256, pauseMs: 0 },
    { name: 'more than can be made up for closes the connection', chunks: 15_000, pauseMs: Infinity }
  ]
  for (const { name, chunks, everyMs = 0, bytes = 1, pauseMs } of cases) {
    it(name, () => {
      const counted = countedPauseMs(chunks, everyMs, bytes)
      if (pauseMs === Infinity) expect(counted).to.equal(Infinity)
      else expect(counted).to.be.closeTo(pauseMs, 2)
    })
  }
})

describe('bodies in chunks of one byte', () => {
  const reasons: string[] = []
  let server: Server
  let port: number
  beforeEach(async () => {
    reasons.length = 0
    const limits = { maxConnections: 100, maxHeldBytes: 64 * MB, maxRequestsAhead: 8 }
    const budget = new IngressBudget({ limits, chunkLimits: LIMITS, clock: systemClock, onClosed: ({ reason }) => reasons.push(reason) })
    server = createIngressServer({
      budget,
      clock: systemClock,
      onRequest: (request, response, connection) => {
        const body = collectBody({ request, response, connection, budget, clock: systemClock }, MB)
        return async () => { response.end(`${(await body).length} bytes\n`) }
      }
    })
    port = await listen(server, 0, '127.0.0.1')
  })
  afterEach(() => {
    server.closeAllConnections()
    server.close()
  })

  /** Sends requests on one connection. @returns the answers, as far as they came */
  async function send (requests: number, chunks: number): Promise<string> {
    const socket = connect(port, '127.0.0.1')
    let answers = ''
    socket.setEncoding('utf8').on('data', (text: string) => { answers += text }).on('error', () => {})
    const body = `${'1\r\nx\r\n'.repeat(chunks)}0\r\n\r\n`
    for (let at = 1; at <= requests; at++) socket.write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n${at === requests ? 'connection: close\r\n' : ''}\r\n${body}`)
    await new Promise((resolve) => socket.once('close', resolve))
    return answers
  }
  const countAnswers = (answers: string, chunks: number): number => answers.match(new RegExp(`${chunks} bytes`, 'g'))?.length ?? 0

  // Guards against a client within the limits that is closed without an answer, as others have sent such bodies before.
  it('are all answered, one after the other on one connection', async () => {
    expect(countAnswers(await send(3, BODY_CHUNKS), BODY_CHUNKS)).to.equal(3)
  })

  it('are all answered, four at once', async () => {
    const answers = await Promise.all(Array.from({ length: 4 }, () => send(1, BODY_CHUNKS)))
    expect(answers.map((each) => countAnswers(each, BODY_CHUNKS))).to.deep.equal([1, 1, 1, 1])
    expect(reasons).to.deep.equal([])
  })

  it('are closed when there are too many of them', async () => {
    const answers = await Promise.all(Array.from({ length: 60 }, () => send(1, BODY_CHUNKS)))
    expect(answers.filter((each) => countAnswers(each, BODY_CHUNKS) === 0)).to.have.length.above(30)
    expect(new Set(reasons)).to.deep.equal(new Set(['small-chunks']))
  })
})
