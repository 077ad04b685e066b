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
const LASTING_GAP_MS = 100
/** How many work units a job that lasts has on the small deployments. */
const HOPELESS_UNITS = 5
const JOBS = ['00000000000000d1', '00000000000000d2', '00000000000000d3']
const UNITS = 3
const UNIT_CPU = 1000
const RUN_MS = 1000
const WATCH_MS = 25_000
const IDLE_MS = 3000
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
  const ordinary = { Count: UNITS, Cpu: UNIT_CPU, MemMb: 256, EstimateMs: RUN_MS }
  for (const [at, id] of JOBS.entries()) await submit(at % deployment.hostCount, SHORT, id, RUN_MS, ordinary)
  await sleep(WATCH_MS)
  for (const id of JOBS) await deployment.client(0, 'GET', SHORT.host, `${SHORT.prefix}${id}`)
  const endMs = record.lines.at(-1).atMs
  const waits = JOBS.map((id) => ({ id, waitedMs: (record.of('run begun').find(({ unit }) => unit.startsWith(id))?.atMs ?? endMs) - handedInMs }))
  const workers = deployment.fleet.workersOf(SERVICES[0])
  const capacity = workers.length * CPU
  const used = workers.reduce((sum, worker) => sum + worker.usedCpu, 0)
  record.write('seen', { waits, workers, capacity, used, wantedByEach: UNITS * UNIT_CPU })
  const hasCapacity = capacity - used >= 2 * UNITS * UNIT_CPU && used < capacity / 2
  if (!hasCapacity && waits.some(({ waitedMs }) => waitedMs > IDLE_MS)) throw new Error('the service has no capacity for the jobs')
  return waits.filter(({ waitedMs }) => waitedMs > IDLE_MS).map((wait) =>
    ({ rule: 'LOST', why: 'the job has nothing running although its turn has come and most of the service\'s capacity is free', ...wait }))
}

await runCase(import.meta.url, { services: SERVICES, spare: SPARE, machinesPerPool: 8, cpu: CPU }, CONFIGURATION, play)
