// One small job of many past times is accepted: its service stands still, as each holder needs longer for a round than it may hold its duty.
import { fileURLToPath } from 'node:url'
import { Deployment, newJobId, pause, Record, taskSpec } from '../lib-3/deployment.mjs'
import { FINISH_MS, OrdinaryJobs } from '../lib-3/ordinary.mjs'

const record = new Record(fileURLToPath(new URL('.', import.meta.url)))
const isTrouble = process.env.TROUBLE !== '0'
/** `FirstRunMs` is left out, as a field that is 0: all times have fallen due. */
const TIMED = { TaskSpec: taskSpec(100), MaxRuns: 100_000, IntervalMs: 1000, Steps: [{ Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: 100 }] }
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
    const { status, tookMs, host } = await deployment.callAny('POST', `/${SERVICE}/${id}`, { body: TIMED })
    record.write('timed job sent', { id, bytes: JSON.stringify(TIMED).length, status, tookMs, host })
  }
  const fromMs = Date.now() + FINISH_MS
  const holders = []
  const watch = setInterval(() => {
    void Promise.all([deployment.memory.get(`duty/service/${SERVICE}`)]).then(([item]) => {
      const holder = item.unwrap()?.value ?? 'none'
      if (holders.at(-1) !== holder) {
        holders.push(holder)
        record.write('holder of the service by the store', { holder })
      }
    })
  }, 100)
  await pause(FINISH_MS + 12_000)
  clearInterval(watch)
  ordinary.end()
  const endMs = Date.now()
  const lost = ordinary.lost(fromMs, endMs)
  const waits = ordinary.waits(endMs, Date.now() - performance.now()).map(({ waitedMs }) => waitedMs)
  const active = deployment.fleet.runs.filter(({ endedMs }) => endedMs === undefined).length
  record.write('result', { holders: holders.filter((holder) => holder !== 'none').length, ordinaryJobs: ordinary.jobs.length, longestWaitMs: Math.max(...waits), lost: lost.length, runsAtTheEnd: active, room: 64 })
  exitCode = lost.length > 0 ? 1 : 0
} catch (error) {
  record.write('could not run', { error: String(error) })
} finally {
  await deployment.close()
}
process.exit(exitCode)
