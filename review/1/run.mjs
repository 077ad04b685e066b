// Of 20 lasting jobs of one queue, one can never be done: its work units ask for more memory than any worker has. Ordinary jobs of another queue of the
// same service follow.
import { MEM_MB, runCase, sleep } from '../lib/deployment.mjs'

const SERVICES = ['service-a', 'service-b']
const SPARE = 'spare'
const CPU = 16_000
const LASTING = { host: 'archive.example', prefix: '/archive/' }
const SHORT = { host: 'grids.example', prefix: '/grids/' }
/** One of 20 is a share of 0.05; the small deployments have at most 0.064. They come within 3 s. */
const LASTING_JOBS = 20
const HOPELESS_AT = 10
const LASTING_GAP_MS = 60
/** How many work units a job that lasts has on the small deployments. */
const HOPELESS_UNITS = 5
const JOBS = ['00000000000000d1', '00000000000000d2', '00000000000000d3']
const UNITS = 3
const UNIT_CPU = 1000
const RUN_MS = 1000
/** How long after the last job the rule is checked, in the 3 s before the jobs are asked for; `finish_s` is 14. */
const FINISH_MS = 20_000
const IDLE_MS = 3000
const LOOK_MS = 100
const UNIT_MEM_MB = 256
const route = (name, { host, prefix }) => ({
  Name: name, Host: host, PathPrefix: prefix, Service: SERVICES[0], Priority: 0, Attempts: 3, Stretch: 2, TargetLatencyMs: 600, TimeoutMs: 3000
})
const CONFIGURATION = {
  Routes: [route('archive', LASTING), route('grid-build', SHORT)],
  Services: [
    ...SERVICES.map((name) => ({ Name: name, HealthPath: '/health', RejectsOverload: true })),
    { Name: SPARE, HealthPath: '/health', RejectsOverload: true, Headroom: true }
  ]
}
const lastingId = (at) => `00000000000001${String(at).padStart(2, '0')}`

async function play (deployment, record, isDisrupted) {
  const submit = async (host, { host: routeHost, prefix }, id, runMs, step) => {
    deployment.expect(id, [step])
    const { status } = await deployment.client(host, 'POST', routeHost, `${prefix}${id}`, { TaskSpec: JSON.stringify({ runMs }), Steps: [step] })
    if (status !== 200) throw new Error('a job was not accepted')
  }
  const sound = { Count: 1, Cpu: 200, MemMb: 128, LongRunning: true }
  const hopeless = { Count: HOPELESS_UNITS, Cpu: UNIT_CPU, MemMb: 2 * MEM_MB, LongRunning: true }
  for (let at = 0; at < LASTING_JOBS; at++) {
    const step = isDisrupted && at === HOPELESS_AT ? hopeless : sound
    await submit(at % deployment.hostCount, LASTING, lastingId(at), undefined, step)
    await sleep(LASTING_GAP_MS)
  }
  await sleep(1000)
  const handedInMs = record.lines.at(-1).atMs
  const ordinary = { Count: UNITS, Cpu: UNIT_CPU, MemMb: UNIT_MEM_MB, EstimateMs: RUN_MS }
  for (const [at, id] of JOBS.entries()) await submit(at % deployment.hostCount, SHORT, id, RUN_MS, ordinary)
  await sleep(FINISH_MS)
  const idleSince = await watchIdle(deployment, record)
  for (const id of JOBS) await deployment.client(0, 'GET', SHORT.host, `${SHORT.prefix}${id}`)
  const firstBegun = JOBS.map((id) => record.of('run begun').find(({ unit }) => unit.startsWith(id))?.atMs)
  record.write('seen', { handedInMs, firstBegun, idleSince, workers: deployment.fleet.workersOf(SERVICES[0]) })
  return idleSince.flatMap(({ id, heldMs }) => heldMs < IDLE_MS
    ? []
    : [{ rule: 'LOST', why: 'for 3 s the job has nothing running; room for it exists twice over, and under half of the capacity is in use', id, heldMs }])
}

/** For each job, how long on end it has had nothing running and not ended, while the service had room for it twice over and was under half in use. */
async function watchIdle (deployment, record) {
  const sinceMs = new Map()
  const longestMs = new Map(JOBS.map((id) => [id, 0]))
  for (let look = 0; look <= (IDLE_MS + 1000) / LOOK_MS; look++) {
    const nowMs = performance.now()
    const hasRoom = hasRoomTwice(deployment.fleet.workersOf(SERVICES[0]))
    for (const id of JOBS) {
      const hasBegun = record.of('run begun').some(({ unit }) => unit.startsWith(id))
      if (hasBegun || !hasRoom) sinceMs.delete(id)
      else if (!sinceMs.has(id)) sinceMs.set(id, nowMs)
      if (sinceMs.has(id)) longestMs.set(id, Math.max(longestMs.get(id), Math.round(nowMs - sinceMs.get(id))))
    }
    await sleep(LOOK_MS)
  }
  return [...longestMs].map(([id, heldMs]) => ({ id, heldMs }))
}

function hasRoomTwice (workers) {
  const fitting = workers.reduce((sum, { usedCpu, usedMemMb }) =>
    sum + Math.min(Math.floor((CPU - usedCpu) / UNIT_CPU), Math.floor((MEM_MB - usedMemMb) / UNIT_MEM_MB)), 0)
  const usedShare = (field, capacity) => workers.reduce((sum, worker) => sum + worker[field], 0) / (workers.length * capacity)
  return fitting >= 2 * UNITS && usedShare('usedCpu', CPU) < 0.5 && usedShare('usedMemMb', MEM_MB) < 0.5
}

await runCase(import.meta.url, { services: SERVICES, spare: SPARE, machinesPerPool: 8, cpu: CPU }, CONFIGURATION, play)
