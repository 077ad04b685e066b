// Small helpers for HTTP servers and clients on loopback addresses.
import { request as sendRequest, Agent } from 'node:http'
import { createServer as createTcpServer } from 'node:net'

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

export async function readBody (stream) {
  const chunks = []
  for await (const chunk of stream) chunks.push(chunk)
  return Buffer.concat(chunks).toString()
}

export function sendJson (response, status, body) {
  const text = JSON.stringify(body ?? {})
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

export function listenOn (server, address, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, () => resolve(server.address().port))
  })
}

/** Finds a port that is free at an address. */
export async function freePort (address) {
  const probe = createTcpServer()
  const port = await listenOn(probe, address, 0)
  await new Promise((resolve) => probe.close(resolve))
  return port
}

export async function isFree (address, port) {
  const probe = createTcpServer()
  try {
    await listenOn(probe, address, port)
  } catch {
    return false
  }
  await new Promise((resolve) => probe.close(resolve))
  return true
}

const agent = new Agent({ keepAlive: false })

/** Makes one call. The result has `status` 0 if there was no answer. */
export function call ({ address, method, path, headers = {}, body, waitMs = 3000 }) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const text = body === undefined ? '' : JSON.stringify(body)
    const startedMs = performance.now()
    let isDone = false
    const finish = (result) => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      resolve({ tookMs: Math.round(performance.now() - startedMs), ...result })
    }
    const sent = sendRequest({
      host, port: Number(port), method, path, agent, headers: { 'x-deadline-ms': String(waitMs), 'content-length': Buffer.byteLength(text), ...(text === '' ? {} : { 'content-type': 'application/json' }), ...headers }
    }, (response) => {
      readBody(response).then((answer) => {
        let parsed
        try { parsed = JSON.parse(answer) } catch { parsed = undefined }
        finish({ status: response.statusCode, body: parsed })
      }, () => finish({ status: 0, why: 'broken' }))
    })
    const timer = setTimeout(() => {
      finish({ status: 0, why: 'no answer in time' })
      sent.destroy()
    }, waitMs)
    sent.on('error', (error) => finish({ status: 0, why: error.code ?? 'broken' }))
    sent.end(text)
  })
}
