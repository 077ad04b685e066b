// Ordinary jobs beside the disturbance of a case, and the check of LOST for them.
import { newJobId, pause, taskSpec } from './deployment.mjs'

/** `finish_s` of the rules: the check begins so long after the last disturbance. */
export const FINISH_MS = 14_000
/** A job may have nothing running for so long while its turn has come. */
export const LOST_MS = 3000
/** Half of what the four workers of the service can run at once. */
const HALF_ROOM = 32
const RUN_MS = 300
const STEPS = [{ Count: 1, Cpu: 1000, MemMb: 10, EstimateMs: RUN_MS }]

/** Sends one small job after the other and notes what became of each. */
export class OrdinaryJobs {
  jobs = []
  #isEnded = false

  constructor (deployment, record, service) {
    this.deployment = deployment
    this.record = record
    this.service = service
  }

  async send () {
    const { deployment, record, service } = this
    const job = { id: newJobId(), sentMs: Date.now() }
    this.jobs.push(job)
    const answer = await deployment.callAny('POST', `/${service}/${job.id}`, { body: { TaskSpec: taskSpec(RUN_MS), Steps: STEPS }, from: this.jobs.length })
    job.answer = answer.status
    if (answer.status === 200) job.acceptedMs = Date.now()
    record.write('ordinary job sent', { id: job.id, status: answer.status, error: answer.error, tookMs: Date.now() - job.sentMs })
  }

  /** Sends jobs until ended. */
  async run (everyMs) {
    while (!this.#isEnded) {
      void this.send()
      await pause(everyMs)
    }
  }

  end () {
    this.#isEnded = true
  }

  /** Returns how long each accepted job waited until a worker began its task, to the end of the observation if none has. */
  waits (endMs, clockOffsetMs) {
    const begun = new Map()
    for (const { taskKey, startedMs } of this.deployment.fleet.runs) {
      const [id] = taskKey.split('.')
      const atMs = startedMs + clockOffsetMs
      if (!begun.has(id) || begun.get(id) > atMs) begun.set(id, atMs)
    }
    return this.jobs.filter(({ acceptedMs }) => acceptedMs !== undefined).map(({ id, acceptedMs }) => ({
      id, acceptedMs, hasBegun: begun.has(id), waitedMs: Math.round(Math.max(0, (begun.get(id) ?? endMs) - acceptedMs))
    }))
  }

  /**
   * Returns the jobs that had nothing running for 3 s on end, none of these before `fromMs`, with under half of the service's room in use all the while,
   * so that there was room for them twice over. All runs are of this service, as no other gets jobs.
   *
   * @param fromMs - when the check begins
   * @param endMs - when the observation ended
   */
  lost (fromMs, endMs) {
    const offsetMs = Date.now() - performance.now()
    const changes = this.deployment.fleet.runs.flatMap(({ startedMs, endedMs = Infinity }) => [[startedMs + offsetMs, 1], [endedMs + offsetMs, -1]])
    changes.sort((a, b) => a[0] - b[0])
    const lost = this.waits(endMs, offsetMs).filter(({ acceptedMs, waitedMs }) =>
      longestWithRoom(changes, Math.max(acceptedMs, fromMs), acceptedMs + waitedMs) > LOST_MS)
    for (const job of lost) this.record.write('LOST: accepted job has nothing running for over 3 s though its service has room', { ...job, acceptedMs: undefined })
    return lost
  }
}

/** Returns the longest time on end within a span in which less than half of the room was in use. */
function longestWithRoom (changes, fromMs, toMs) {
  let running = 0
  let longestMs = 0
  let sinceMs = fromMs
  for (const [atMs, change] of changes) {
    const isFull = running >= HALF_ROOM
    const clampedMs = Math.min(Math.max(atMs, fromMs), toMs)
    if (isFull) sinceMs = clampedMs
    else longestMs = Math.max(longestMs, clampedMs - sinceMs)
    running += change
  }
  return running >= HALF_ROOM ? longestMs : Math.max(longestMs, toMs - sinceMs)
}
