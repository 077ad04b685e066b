// A route is removed, and added again with another service. Clients then send jobs once more whose 2xx they have had seconds before.
import { CONFIG_APPLY_MS, runCase, sleep } from '../lib/deployment.mjs'

const ROUTE_HOST = 'grids.example'
const PREFIX = '/grids/'
const SERVICES = ['service-a', 'service-b']
const LONG_MS = 20_000
const SHORT_MS = 800
const route = (service) => ({
  Name: 'grid-build', Host: ROUTE_HOST, PathPrefix: PREFIX, Service: service, Priority: 0, Attempts: 3, Stretch: 2, TargetLatencyMs: 600, TimeoutMs: 3000
})
const OTHER = { ...route(SERVICES[1]), Name: 'index', Host: 'index.example', PathPrefix: '/index/' }
const configuration = (...routes) => ({
  Routes: [OTHER, ...routes], Services: SERVICES.map((name) => ({ Name: name, HealthPath: '/health', RejectsOverload: true }))
})
const JOBS = [
  { id: '00000000000000a1', runMs: LONG_MS },
  { id: '00000000000000a2', runMs: SHORT_MS },
  { id: '00000000000000a3', runMs: LONG_MS },
  { id: '00000000000000a4', runMs: SHORT_MS }
]

async function play (deployment, record, isDisrupted) {
  const bodies = JOBS.map(({ id, runMs }) => {
    const Steps = [{ Count: 3, Cpu: 1000, MemMb: 256, EstimateMs: runMs }]
    deployment.expect(id, Steps)
    return { TaskSpec: JSON.stringify({ runMs }), Steps }
  })
  const submit = (at, host) => deployment.client(host, 'POST', ROUTE_HOST, `${PREFIX}${JOBS[at].id}`, bodies[at])
  const accepted = []
  for (const [at] of JOBS.entries()) accepted.push((await submit(at, at % deployment.hostCount)).status === 200)
  if (accepted.includes(false)) throw new Error('a job was not accepted before the disruption')
  await sleep(2000)
  if (isDisrupted) deployment.configure(configuration())
  await sleep(CONFIG_APPLY_MS)
  if (isDisrupted) deployment.configure(configuration(route(SERVICES[1])))
  await sleep(CONFIG_APPLY_MS + 1000)
  // Now and then a client sends the same id again seconds after its 2xx, to any node: it remains one job.
  for (const [at] of JOBS.entries()) await submit(at, (at + 1) % deployment.hostCount)
  await sleep(6000)
  for (const { id } of JOBS) await deployment.client(0, 'GET', ROUTE_HOST, `${PREFIX}${id}`)
  return findTwice(record)
}

/** Two runs of one work unit go at the same time, or a start follows a run that ended `done` and of which note is taken then or later. */
function findTwice (record) {
  const ends = record.of('run ended')
  const runs = record.of('run begun').map((run) => {
    const end = ends.find((each) => each.unit === run.unit && each.run === run.run && each.worker === run.worker)
    const isNoted = end !== undefined && record.of('end noted').some(({ worker, number }) => worker === end.worker && number === end.number)
    return { ...run, endMs: end?.atMs ?? Infinity, isDone: end?.how === 'done' && isNoted }
  })
  const breaches = []
  for (const [at, first] of runs.entries()) {
    for (const second of runs.slice(at + 1)) {
      if (second.unit !== first.unit) continue
      const pair = { unit: first.unit, first: [first.service, first.worker, first.run], second: [second.service, second.worker, second.run] }
      if (second.atMs < first.endMs) breaches.push({ rule: 'TWICE', why: 'two runs of one work unit go at the same time', ...pair })
      else if (first.isDone) breaches.push({ rule: 'TWICE', why: 'a start follows a run that ended done, of which note was taken', ...pair })
    }
  }
  return breaches
}

await runCase(import.meta.url, { services: SERVICES, machinesPerPool: 4, cpu: 16_000 }, configuration(route(SERVICES[0])), play)
