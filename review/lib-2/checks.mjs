// Checks of rules by what clients and workers saw.

/** When the run of a work unit was there: from its start until its worker listed its end, or its worker crashed. */
const spanOf = (run) => [run.startedMs, run.endedMs ?? Infinity]

/** @returns when all work units of a job had ended `done`, `Infinity` before that */
export function doneAtMs (fleet, jobId) {
  const steps = fleet.jobs.get(jobId)
  let lastMs = -Infinity
  for (const [step, { Count, Gang }] of steps.entries()) {
    for (let index = 0; index < Count; index++) {
      const prefix = Gang === true ? `${jobId}.0.${step}.` : `${jobId}.0.${step}.${index}`
      const done = fleet.ends.filter(({ task, how }) => how === 'done' && (Gang === true ? task.startsWith(prefix) : task === prefix))
      if (done.length === 0) return Infinity
      lastMs = Math.max(lastMs, Math.min(...done.map(({ endedMs }) => endedMs)))
    }
  }
  return lastMs
}

/**
 * Finds the longest time for which a job of one step had nothing running though the turn of a work unit had come.
 *
 * @param fleet - the stand-in of the workers
 * @param jobId - the job
 * @param fromMs - when its turn had come, or when the time that counts begins, whichever is later
 * @param toMs - the end of the time that counts
 */
export function longestIdleMs (fleet, jobId, fromMs, toMs) {
  const endMs = Math.min(toMs, doneAtMs(fleet, jobId))
  const spans = fleet.starts.filter(({ task }) => task.startsWith(`${jobId}.`)).map(spanOf).sort((a, b) => a[0] - b[0])
  let busyUntilMs = fromMs
  let longest = 0
  for (const [startMs, stopMs] of spans) {
    if (startMs >= endMs) break
    longest = Math.max(longest, startMs - busyUntilMs)
    busyUntilMs = Math.max(busyUntilMs, stopMs)
  }
  return Math.max(longest, endMs - busyUntilMs)
}

/** @returns the largest share of a service's processor capacity that was in use at any start in a time */
export function mostUsedShare (fleet, service, fromMs, toMs) {
  const total = fleet.workers.filter(({ machine }) => machine.service === service).reduce((sum, { machine }) => sum + machine.capacity.Cpu, 0)
  const runs = fleet.starts.filter(({ life }) => life.worker.machine.service === service)
  const moments = [fromMs, ...runs.map(({ startedMs }) => startedMs).filter((ms) => ms > fromMs && ms < toMs)]
  const runningAt = (ms) => runs.filter((run) => run.startedMs <= ms && (run.endedMs ?? Infinity) > ms)
  return Math.max(...moments.map((ms) => runningAt(ms).reduce((sum, { step }) => sum + (step.Cpu ?? 0), 0) / total))
}
