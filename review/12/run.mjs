// Half of the open channels to the store go silent for good, again and again, while new ones work. Clients cancel jobs just then: where the channel is among
// them on which the holder of the service waits for news, it goes on to start work units of these jobs for 3.5 s.
import { fileURLToPath } from 'node:url'
import { Deployment, newJobId, pause, Record, taskSpec } from '../lib-3/deployment.mjs'
import { ChannelProxy } from '../lib-3/proxy.mjs'

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const isTrouble = process.env.TROUBLE !== '0'
const SERVICE = 'grids'
const ROUNDS = 14
/** `reset_conns` has x (.5) of the connections. */
const SHARE = 0.5
/** `ContactMs` and `cancel_ms` of the site. */
const CONTACT_MS = 3000
const CANCEL_MS = 3000
const JOBS = 8
/** Steps of 80 ms, one after the other. */
const STEPS = Array.from({ length: 90 }, (_, index) => ({ Count: 1, Cpu: 500, MemMb: 10, EstimateMs: 80, ...(index === 0 ? {} : { DependsOn: [index - 1] }) }))

const deployment = new Deployment(record)
const proxies = []
const state = { isEnded: false }
let exitCode = 2

/** Sends small jobs, as ordinary traffic. */
async function sendJobs () {
  const body = { TaskSpec: taskSpec(200), Steps: [{ Count: 1, Cpu: 500, MemMb: 10, EstimateMs: 200 }] }
  for (let index = 0; !state.isEnded; index++) {
    void deployment.hosts[index % deployment.hosts.length].call('POST', `/${SERVICE}/${newJobId()}`, { body })
    await pause(100)
  }
}

try {
  await deployment.start({
    hosts: 3,
    machines: 5,
    storePort: async (port) => {
      const proxy = new ChannelProxy(port)
      proxies.push(proxy)
      return await proxy.listen()
    }
  })
  void sendJobs()
  await pause(2000)
  let broken = 0
  for (let round = 0; round < ROUNDS; round++) {
    const jobs = Array.from({ length: JOBS }, newJobId)
    await Promise.all(jobs.map((id) => deployment.callAny('POST', `/${SERVICE}/${id}`, { body: { TaskSpec: taskSpec(80), Steps: STEPS } })))
    await pause(1000)
    const holder = await deployment.holderOf(SERVICE)
    const struckMs = performance.now()
    const struck = isTrouble ? proxies.map((proxy) => proxy.silence(SHARE)) : []
    const cancelled = await Promise.all(jobs.map(async (id, index) => {
      const { status, host } = await deployment.callAny('DELETE', `/${SERVICE}/${id}`, { from: index })
      return { id, status, host, acknowledgedMs: performance.now() }
    }))
    await pause(4200)
    const late = cancelled.flatMap(({ id, status, acknowledgedMs }) => {
      const isAcknowledged = status >= 200 && status < 300
      const fromMs = Math.max(acknowledgedMs + CANCEL_MS, struckMs + CONTACT_MS)
      const runs = deployment.fleet.runs.filter(({ taskKey, startedMs }) => taskKey.startsWith(id) && startedMs > fromMs)
      return isAcknowledged
        ? runs.map(({ taskKey, fencingToken, startedMs }) =>
          ({ taskKey, fencingToken, afterAckMs: Math.round(startedMs - acknowledgedMs), afterStrikeMs: Math.round(startedMs - struckMs) }))
        : []
    })
    const last = Math.max(...cancelled.flatMap(({ id, acknowledgedMs }) =>
      deployment.fleet.runs.filter(({ taskKey }) => taskKey.startsWith(id)).map(({ startedMs }) => Math.round(startedMs - acknowledgedMs))))
    if (late.length > 0) broken++
    record.write(late.length > 0 ? 'UNASKED: started later than cancel_ms after the cancelling was acknowledged' : 'round', {
      round,
      holder: holder?.name,
      holderAfter: (await deployment.holderOf(SERVICE))?.name,
      struck,
      acknowledgedAfterStrikeMs: cancelled.map(({ status, acknowledgedMs }) => `${status} ${Math.round(acknowledgedMs - struckMs)}`),
      lastStartAfterAckMs: last,
      late
    })
  }
  record.write('result', { rounds: ROUNDS, broken })
  exitCode = broken > 0 ? 1 : 0
} catch (error) {
  record.write('could not run', { error: String(error) })
} finally {
  state.isEnded = true
  await deployment.close()
  for (const proxy of proxies) proxy.close()
}
process.exit(exitCode)
