/**
 * A stand-in for one target: runs requests in slots, counts every run, and injects faults.
 *
 * @module
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { delay, type SeededRandom } from '@quillscale/utils'
import { StandInTasks } from './StandInTasks.js'

/** The faults that a target shows. @public */
export interface TargetFaults {
  /** Factor by which work takes longer. */
  slowFactor: number
  /** Answers every request with 500 without delay. */
  failsAll: boolean
  /** Share of answers that break off in the middle. */
  truncateShare: number
  /** Share of requests that are answered with the id and body of an earlier request. */
  crossShare: number
  /** Share of answers that are delayed by `lateMs`. */
  lateShare: number
  lateMs: number
  /** Share of answers that have neither a length nor chunks and end by closing the connection. */
  closeDelimitedShare: number
}

/** Faults of a target that works correctly. @public */
export const NO_FAULTS: Readonly<TargetFaults> = {
  slowFactor: 1, failsAll: false, truncateShare: 0, crossShare: 0, lateShare: 0, lateMs: 2000, closeDelimitedShare: 0
}

/** Options of a {@link StandInTarget}. @public */
export interface StandInTargetOptions {
  readonly hostId: string
  readonly address: string
  readonly port: number
  readonly slots: number
  /** Mean duration of a request, unless the request sets it with `x-work-ms`. */
  readonly workMs: number
  readonly random: SeededRandom
  /** Called for each run with the id that the caller gave the request. */
  readonly onRun: (callId: string, hostId: string) => void
}

const FILLER_TEXT = 'x'.repeat(400)

/** HTTP server of one target. @public */
export class StandInTarget {
  readonly faults: TargetFaults = { ...NO_FAULTS }
  readonly tasks: StandInTasks
  isLeaving = false
  running = 0
  runs = 0
  refusals = 0
  lastRunMs = 0
  readonly #options: StandInTargetOptions
  readonly #sockets = new Set<Socket>()
  #server: Server | undefined
  #previous: { requestId: string, body: string } | undefined

  /** @param options - address, slots and speed */
  constructor (options: StandInTargetOptions) {
    this.#options = options
    this.tasks = new StandInTasks((jobId) => options.onRun(jobId, options.hostId))
  }

  /** Starts listening. */
  async up (): Promise<void> {
    if (this.#server !== undefined) return
    const server = createServer((request, response) => { void this.#answer(request, response) })
    server.keepAliveTimeout = 60_000
    server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
    })
    this.#server = server
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.#options.port, this.#options.address, resolve)
    })
  }

  /** Stops at once, aborting the requests and tasks in progress. */
  down (): void {
    this.#server?.close()
    this.#server = undefined
    for (const socket of this.#sockets) socket.destroy()
    this.running = 0
    this.tasks.clear()
  }

  async #answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    const requestId = String(request.headers['quillscale-request-id'] ?? '')
    if (this.isLeaving) response.setHeader('quillscale-leaving', 'true')
    if (request.url === '/health') {
      response.end('ok')
      return
    }
    if (request.url?.startsWith('/tasks/') === true) return this.#answerTasks(request.url.slice('/tasks/'.length), request, response)
    if (this.isLeaving || this.running >= this.#options.slots) return this.#refuse(request, response, requestId)
    this.running++
    try {
      await this.#run(request, response, requestId)
    } finally {
      this.running = Math.max(0, this.running - 1)
    }
  }

  async #answerTasks (call: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readAll(request)
    if (body === undefined) return
    this.tasks.failsAll = this.faults.failsAll
    response.setHeader('content-type', 'application/json')
    response.end(JSON.stringify(this.tasks.answer(call, JSON.parse(body.toString()) as Record<string, unknown>)))
  }

  /** Refuses a request, and states that it was not run. */
  #refuse (request: IncomingMessage, response: ServerResponse, requestId: string): void {
    this.refusals++
    request.resume()
    response.writeHead(503, { 'quillscale-outcome': 'not-run', 'quillscale-request-id': requestId, 'retry-after': '1' })
    response.end()
  }

  async #run (request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
    const { faults } = this
    const { random, onRun, hostId, workMs } = this.#options
    const received = await readAll(request)
    if (received === undefined) return
    if (faults.failsAll) {
      response.writeHead(500, { 'quillscale-request-id': requestId })
      response.end('fails everything')
      return
    }
    const callId = String(request.headers['x-call-id'] ?? '')
    this.runs++
    this.lastRunMs = Date.now()
    onRun(callId, hostId)
    const requestedWorkMs = Number(request.headers['x-work-ms'])
    await delay((requestedWorkMs > 0 ? requestedWorkMs : random.exponentialMs(workMs)) * faults.slowFactor)
    const body = JSON.stringify({ hostId, callId, method: request.method, path: request.url, received: received.length, filler: FILLER_TEXT })
    await this.#send(response, requestId, body)
    this.#previous = { requestId, body }
  }

  async #send (response: ServerResponse, requestId: string, body: string): Promise<void> {
    const { faults, hostId } = { faults: this.faults, hostId: this.#options.hostId }
    const { random } = this.#options
    const isCrossed = random.next() < faults.crossShare && this.#previous !== undefined
    const answer = isCrossed && this.#previous !== undefined ? this.#previous : { requestId, body }
    const headers = { 'content-type': 'application/json', 'quillscale-request-id': answer.requestId, 'x-host': hostId }
    if (random.next() < faults.lateShare) await delay(faults.lateMs)
    if (random.next() < faults.closeDelimitedShare) {
      response.socket?.end(`HTTP/1.1 200 OK\r\nquillscale-request-id: ${answer.requestId}\r\n\r\n${answer.body.slice(0, 100)}`)
      return
    }
    response.writeHead(200, { ...headers, 'content-length': Buffer.byteLength(answer.body) })
    if (random.next() < faults.truncateShare) {
      response.write(answer.body.slice(0, answer.body.length / 2), () => response.destroy())
      return
    }
    response.end(answer.body)
  }
}

async function readAll (request: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of request) chunks.push(chunk as Buffer)
    return Buffer.concat(chunks)
  } catch {
    return undefined
  }
}
