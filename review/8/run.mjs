// Empty workers are added to a service whose queue needs advice. From then on the workers that may run its jobs are never asked about.
import { fileURLToPath } from 'node:url'
import { CannotRun, newJobId, runCase, sleep, ZONES } from '../lib-2/deployment.mjs'
import { longestIdleMs, mostUsedShare } from '../lib-2/checks.mjs'

const ADVICE = { DecisionMs: 20, EachMs: 2, ValidMs: 3000 }
const advised = { Name: 'r-render', Host: 'proofs.example', PathPrefix: '/render/', Service: 'proofs', Advice: ADVICE }
const open = { Name: 'r-index', Host: 'proofs.example', PathPrefix: '/index/', Service: 'proofs', Attempts: 4, Stretch: 2.2, TargetLatencyMs: 2500 }
const kind = (label, rack) => ({ capacity: { Cpu: 16000, MemMb: 32768, Gpu: 0 }, labels: [label, rack] })
const lasting = [{ Count: 4, Cpu: 1300, MemMb: 3400, EstimateMs: 700, runMs: 0, LongRunning: true, AntiAffinity: 1, Requires: 'b' }]
const ordinary = [{ Count: 6, Cpu: 880, MemMb: 1300, EstimateMs: 500, runMs: 500 }]
/** 0.33 of the workers, one each 1.2 s. */
const SCALE_OUT = { share: 0.33, gapMs: 1200 }
const LOST_MS = 3000
const CALM_BEFORE_MS = 4000

await runCase(fileURLToPath(new URL('.', import.meta.url)), {}, async (deployment, hasTrouble) => {
  const allowed = new Set()
  const openJobs = new Set()
  await deployment.startPlatform({
    services: [{ name: 'proofs', workers: [...Array(24).fill(kind('a', 'r1-1')), ...Array(4).fill(kind('b', 'r1-2'))] }],
    advice: { allows: (id) => allowed.has(id), decisionMs: ADVICE.DecisionMs, eachMs: ADVICE.EachMs, validMs: ADVICE.ValidMs }
  })
  const { fleet, advice } = deployment
  // The policy lets only the workers of kind b run the steps.
  for (const { machine, life } of fleet.workers) if (machine.labels[0] === 'b') allowed.add(life.id)
  fleet.acceptsTicket = (task, workerId, ticket) => openJobs.has(task.split('.')[0]) || advice.accepts(task, workerId, ticket)
  deployment.configure({ routes: [advised, open], services: [{ Name: 'proofs' }] })
  await deployment.startHosts(3)
  await sleep(2500)
  const lastingId = newJobId()
  openJobs.add(lastingId)
  if (!await deployment.submitUntilAccepted(open, lastingId, lasting)) throw new CannotRun('the lasting job was not accepted')
  const before = newJobId()
  if (!await deployment.submitUntilAccepted(advised, before, ordinary)) throw new CannotRun('the first job was not accepted')
  await sleep(4000)
  if (await deployment.stateOf(advised, before) !== 'succeeded') throw new CannotRun('the first job did not run')

  const added = hasTrouble ? Math.floor(fleet.workers.length * SCALE_OUT.share) : 0
  for (let at = 0; at < added; at++) {
    await fleet.add({ service: 'proofs', zone: ZONES[at % ZONES.length], ...kind('a', 'r1-3') })
    await sleep(SCALE_OUT.gapMs)
  }
  const troubleMs = performance.now()
  await sleep(CALM_BEFORE_MS + 1000)
  const jobs = []
  for (let at = 0; at < 5; at++) {
    const jobId = newJobId()
    if (await deployment.submitUntilAccepted(advised, jobId, ordinary)) jobs.push({ jobId, ackMs: performance.now() })
    await sleep(1000)
  }
  await sleep(14_000)
  const endMs = performance.now()
  const calmMs = troubleMs + CALM_BEFORE_MS
  const lost = jobs.filter(({ jobId, ackMs }) => longestIdleMs(fleet, jobId, Math.max(ackMs, calmMs), endMs) >= LOST_MS)
  const used = mostUsedShare(fleet, 'proofs', calmMs, endMs)
  const states = await Promise.all(jobs.map(({ jobId }) => deployment.stateOf(advised, jobId)))
  return {
    broken: lost.length > 0 && used < 0.5,
    text: `${lost.length} of ${jobs.length} accepted jobs had nothing running for 3 s; their states 14 s after the last one: ${[...new Set(states)].join(', ')}; at most ${(used * 100).toFixed(1)}% of the service in use; each of the 4 workers that may run them has 14.7 of 16 cores free`
  }
})
