// One job whose second step names its first many times is accepted: each round of each holder of its service throws, and nothing of the service runs any more.
import { fileURLToPath } from 'node:url'
import { Deployment, newJobId, pause, Record, taskSpec } from '../lib-3/deployment.mjs'
import { FINISH_MS, OrdinaryJobs } from '../lib-3/ordinary.mjs'

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const isTrouble = process.env.TROUBLE !== '0'
/** A body of 261 KB; the configuration allows 262,144 bytes. */
const REPEATS = 130_500
const STEP = { Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: 100 }
const REPEATING = { TaskSpec: taskSpec(100), Steps: [STEP, { ...STEP, DependsOn: new Array(REPEATS).fill(0) }] }
const SERVICE = 'grids'

const deployment = new Deployment(record)
let exitCode = 2
try {
  await deployment.start()
  const ordinary = new OrdinaryJobs(deployment, record, SERVICE)
  void ordinary.run(1000)
  await pause(4000)
  if (isTrouble) {
    const id = newJobId()
    const { status, tookMs, host } = await deployment.callAny('POST', `/${SERVICE}/${id}`, { body: REPEATING })
    record.write('repeating job sent', { id, bytes: JSON.stringify(REPEATING).length, status, tookMs, host })
  }
  const fromMs = Date.now() + FINISH_MS
  await pause(FINISH_MS + 12_000)
  ordinary.end()
  const lost = ordinary.lost(fromMs, Date.now())
  const begun = ordinary.waits(Date.now(), Date.now() - performance.now()).filter(({ hasBegun }) => hasBegun).length
  const active = deployment.fleet.runs.filter(({ endedMs }) => endedMs === undefined).length
  record.write('result', { ordinaryJobs: ordinary.jobs.length, begun, lost: lost.length, runsAtTheEnd: active, room: 64 })
  exitCode = lost.length > 0 ? 1 : 0
} catch (error) {
  record.write('could not run', { error: String(error) })
} finally {
  await deployment.close()
}
process.exit(exitCode)
