// Four small jobs of many tasks are accepted: the holder of their service runs out of memory, and so does each that takes over.
import { fileURLToPath } from 'node:url'
import { Deployment, newJobId, pause, Record } from '../lib-3/deployment.mjs'
import { FINISH_MS, OrdinaryJobs } from '../lib-3/ordinary.mjs'

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const isTrouble = process.env.TROUBLE !== '0'
const JOBS = 4
/** 10 steps of 10,000 lasting tasks each, in less than a kilobyte. They need a label that no worker has now, so that they take no room. */
const LARGE = { TaskSpec: '{"runMs":0}', Steps: Array.from({ length: 10 }, () => ({ Count: 10_000, Cpu: 1000, MemMb: 10, Requires: 'b', LongRunning: true })) }
const SERVICE = 'grids'
/** RULES.md, Fault: three ends of processes, and two machines of few. */
const MOST_ENDS = 3
const MIN_HOSTS = 2

const deployment = new Deployment(record)
let exitCode = 2
try {
  await deployment.start()
  const ordinary = new OrdinaryJobs(deployment, record, SERVICE)
  void ordinary.run(1000)
  await pause(4000)
  for (let index = 0; index < (isTrouble ? JOBS : 0); index++) {
    const id = newJobId()
    const { status, tookMs, host } = await deployment.callAny('POST', `/${SERVICE}/${id}`, { body: LARGE })
    record.write('large job sent', { id, bytes: JSON.stringify(LARGE).length, status, tookMs, host })
    await pause(500)
  }
  const fromMs = Date.now() + FINISH_MS
  await pause(FINISH_MS + 12_000)
  ordinary.end()
  const lost = ordinary.lost(fromMs, Date.now())
  const ends = deployment.hosts.flatMap((host) => host.ends.map((end) => ({ ...end, host: host.name })))
  const hosts = new Set(ends.map(({ host }) => host))
  const isFault = ends.length >= MOST_ENDS && hosts.size >= MIN_HOSTS
  record.write('result', { processesEnded: ends.length, onHosts: [...hosts], ordinaryJobs: ordinary.jobs.length, lost: lost.length, isFault })
  exitCode = isFault || lost.length > 0 ? 1 : 0
} catch (error) {
  record.write('could not run', { error: String(error) })
} finally {
  await deployment.close()
}
process.exit(exitCode)
