// One tenant sends several times its usual for some seconds. After that none of its jobs is started any more, in any service, with nothing running.
import { fileURLToPath } from 'node:url'
import { CannotRun, newJobId, runCase, sleep, SMALL_CONTRACTS } from '../lib-2/deployment.mjs'
import { doneAtMs, mostUsedShare } from '../lib-2/checks.mjs'

const names = ['nord-grids', 'nord-proofs', 'syd-grids', 'syd-proofs']
const routes = names.map((name) => ({ Name: `r-${name}`, Host: 'jobs.example', PathPrefix: `/${name}/`, Service: name }))
const worker = { capacity: { Cpu: 16000, MemMb: 32768, Gpu: 0 }, labels: ['a', 'r1-1'] }
const KEY = 'key-1'
const MAX_CPU = 8000
const tenants = [{ Name: 'tenant-1', ApiKeys: [KEY], Priority: 1, Weight: 10, MaxCount: { Cpu: MAX_CPU, MemMb: 0, Gpu: 0 } }]
/** Work units of 1.5 and 3.3 cores, the means of the sheet's requests; each job fits into `MaxCount` by itself. */
const kinds = [1500, 3300].map((Cpu) => [{ Count: 3, Cpu, MemMb: 1300, EstimateMs: 300, runMs: 300 }])
const JOBS = 26
/** Usually one job a second; `hot_tenant` comes with up to 6.9 times as many, for up to 6.7 s. */
const USUAL_GAP_MS = 1000
const HOT_FACTOR = 6.5
const LOST_MS = 3000
const CALM_BEFORE_MS = 4000
const FINISH_MS = 30_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), { contracts: [...SMALL_CONTRACTS, 'tenants', 'quota'] }, async (deployment, hasTrouble) => {
  await deployment.startPlatform({ services: names.map((name) => ({ name, workers: Array(8).fill(worker) })) })
  deployment.configure({ routes, services: names.map((Name) => ({ Name })), tenants })
  await deployment.startHosts(3)
  await sleep(4000)
  const jobs = []
  for (let at = 0; at < JOBS; at++) {
    // Clients do not wait for each other.
    const job = { jobId: newJobId(), route: routes[at % routes.length], ackMs: undefined }
    jobs.push(job)
    void deployment.submitUntilAccepted(job.route, job.jobId, kinds[Math.floor(at / routes.length) % kinds.length], { key: KEY })
      .then((isAccepted) => { if (isAccepted) job.ackMs = performance.now() })
    await sleep(hasTrouble ? USUAL_GAP_MS / HOT_FACTOR : USUAL_GAP_MS)
  }
  const troubleMs = performance.now()
  await sleep(CALM_BEFORE_MS + FINISH_MS)
  const endMs = performance.now()
  const accepted = jobs.filter(({ ackMs }) => ackMs !== undefined)
  if (accepted.length < JOBS / 2) throw new CannotRun('most jobs were not accepted')
  const calmMs = troubleMs + CALM_BEFORE_MS
  const { fleet } = deployment
  const used = Math.max(...names.map((name) => mostUsedShare(fleet, name, calmMs, endMs)))
  // All work is the tenant's: how long it has had nothing running at the end, within the calm time. A job that is not done then has waited as long.
  const nothingMs = endMs - Math.max(calmMs, ...accepted.map(({ ackMs }) => ackMs), ...fleet.starts.map(({ endedMs }) => endedMs ?? endMs))
  const lost = nothingMs < LOST_MS ? [] : accepted.filter(({ jobId }) => doneAtMs(fleet, jobId) > endMs)
  const states = {}
  for (const { jobId, route } of accepted) {
    const state = await deployment.stateOf(route, jobId, { key: KEY })
    states[state] = (states[state] ?? 0) + 1
  }
  return {
    broken: lost.length > 0 && used < 0.5,
    text: `${lost.length} of ${accepted.length} accepted jobs had nothing running for 3 s; states at the end ${JSON.stringify(states)}; ` +
      `by then the tenant had had nothing running for ${(nothingMs / 1000).toFixed(1)} s; at most ${(used * 100).toFixed(1)}% of a service in use`
  }
})
