// All entry hosts but one are lost for good. The one that is left loses its duties again and again, and jobs wait.
import { fileURLToPath } from 'node:url'
import { CannotRun, newJobId, runCase, sleep, SMALL_CONTRACTS, ZONES } from '../lib-2/deployment.mjs'
import { longestIdleMs, mostUsedShare } from '../lib-2/checks.mjs'

const names = ['nord-grids', 'nord-proofs', 'syd-grids', 'syd-proofs', 'solution-check']
const routes = names.map((name) => ({ Name: `r-${name}`, Host: 'jobs.example', PathPrefix: `/${name}/`, Service: name }))
const worker = { capacity: { Cpu: 16000, MemMb: 32768, Gpu: 0 }, labels: ['a', 'r1-1'] }
const ordinary = [{ Count: 3, Cpu: 880, MemMb: 1300, EstimateMs: 500, runMs: 500 }]
const tenants = [{ Name: 'tenant-1', ApiKeys: ['key-1'], Priority: 1, Weight: 100, MaxCount: { Cpu: 2_000_000, MemMb: 3_900_000, Gpu: 0 } }]
const LOST_MS = 3000
const CALM_BEFORE_MS = 4000

await runCase(fileURLToPath(new URL('.', import.meta.url)), { contracts: [...SMALL_CONTRACTS, 'tenants', 'quota'] }, async (deployment, hasTrouble) => {
  await deployment.startPlatform({ services: names.map((name) => ({ name, workers: Array(8).fill(worker) })) })
  deployment.configure({ routes, services: names.map((Name) => ({ Name })), tenants })
  // Two machines and one zone may be lost at once: the hosts that are killed are the two of one zone.
  await deployment.startHosts(3, [ZONES[0], ZONES[1], ZONES[1]])
  await sleep(4000)
  const [survivor, ...others] = deployment.hosts.hosts
  if (hasTrouble) for (const host of others) deployment.hosts.kill(host, { forGood: true })
  const troubleMs = performance.now()
  await sleep(8000)

  const jobs = []
  const endSubmitMs = performance.now() + 50_000
  for (let at = 0; performance.now() < endSubmitMs; at++) {
    const route = routes[at % routes.length]
    const job = { jobId: newJobId(), route, ackMs: undefined }
    jobs.push(job)
    // Clients do not wait for each other.
    void deployment.submitUntilAccepted(route, job.jobId, ordinary, { key: 'key-1' }).then((isAccepted) => { if (isAccepted) job.ackMs = performance.now() })
    await sleep(500)
  }
  await sleep(14_000)
  const endMs = performance.now()
  if (survivor.ends.length > 0) throw new CannotRun('the host that is left ended')
  const accepted = jobs.filter(({ ackMs }) => ackMs !== undefined)
  if (accepted.length < jobs.length / 2) throw new CannotRun('most jobs were not accepted')
  const calmMs = troubleMs + CALM_BEFORE_MS
  const idle = accepted.map(({ jobId, ackMs }) => longestIdleMs(deployment.fleet, jobId, Math.max(ackMs, calmMs), endMs))
  const lost = idle.filter((ms) => ms >= LOST_MS)
  const used = Math.max(...names.map((name) => mostUsedShare(deployment.fleet, name, calmMs, endMs)))
  const log = deployment.hosts.log(survivor)
  const count = (text) => log.split(text).length - 1
  return {
    broken: lost.length > 0 && used < 0.5,
    text: `${lost.length} of ${accepted.length} accepted jobs had nothing running for 3 s, the longest for ${(Math.max(...idle) / 1000).toFixed(1)} s; at most ${(used * 100).toFixed(1)}% of a service in use; by its log, host ${survivor.name} took a duty ${count('"duty taken"')} times and gave one up ${count('"duty given up"')} times`
  }
})
