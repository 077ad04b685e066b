// One large job is accepted. After that no job of its service is started any more.
import { fileURLToPath } from 'node:url'
import { CannotRun, newJobId, runCase, sleep } from '../lib-2/deployment.mjs'
import { longestIdleMs, mostUsedShare } from '../lib-2/checks.mjs'

const route = { Name: 'r-grids', Host: 'grids.example', PathPrefix: '/grids/', Service: 'grids' }
const worker = { capacity: { Cpu: 16000, MemMb: 32768, Gpu: 0 }, labels: ['a', 'r1-1'] }
const ordinary = [{ Count: 4, Cpu: 880, MemMb: 1300, EstimateMs: 500, runMs: 500 }]
/** 24 of the 128 cores and 12 of the 256 GB of the service, so that more than three quarters stay free if all of it runs. */
const largeStep = { Count: 6000, Cpu: 2, MemMb: 1, EstimateMs: 1000, runMs: 1000 }
const LOST_MS = 3000
const CALM_BEFORE_MS = 4000
const FINISH_MS = 14_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), {}, async (deployment, hasTrouble) => {
  await deployment.startPlatform({ services: [{ name: 'grids', workers: Array(8).fill(worker) }] })
  deployment.configure({ routes: [route], services: [{ Name: 'grids' }] })
  await deployment.startHosts(3)
  await sleep(2500)

  const before = newJobId()
  if (!await deployment.submitUntilAccepted(route, before, ordinary)) throw new CannotRun('the first job was not accepted')
  await sleep(3000)
  if (await deployment.stateOf(route, before) !== 'succeeded') throw new CannotRun('the first job did not run')

  const large = newJobId()
  if (hasTrouble && !await deployment.submitUntilAccepted(route, large, [largeStep, largeStep])) throw new CannotRun('the large job was not accepted')
  const troubleMs = performance.now()
  await sleep(8000)

  const jobs = []
  for (let at = 0; at < 10; at++) {
    const jobId = newJobId()
    if (await deployment.submitUntilAccepted(route, jobId, ordinary)) jobs.push({ jobId, ackMs: performance.now() })
    await sleep(500)
  }
  await sleep(FINISH_MS)
  const endMs = performance.now()
  const calmMs = troubleMs + CALM_BEFORE_MS
  const lost = jobs.filter(({ jobId, ackMs }) => longestIdleMs(deployment.fleet, jobId, Math.max(ackMs, calmMs), endMs) >= LOST_MS)
  const used = mostUsedShare(deployment.fleet, 'grids', calmMs, endMs)
  const states = await Promise.all(jobs.map(({ jobId }) => deployment.stateOf(route, jobId)))
  const largeText = hasTrouble ? `; the large job is ${await deployment.stateOf(route, large)}, ${deployment.startsOf(large).length} of its work units were started` : ''
  return {
    broken: lost.length > 0 && used < 0.5,
    text: `${lost.length} of ${jobs.length} accepted ordinary jobs had nothing running for 3 s; their states ${FINISH_MS / 1000} s after the last one: ${[...new Set(states)].join(', ')}; at most ${(used * 100).toFixed(1)}% of the service in use; the store refused ${deployment.store.counts.tooLarge} values over ValueBytes${largeText}`
  }
})
