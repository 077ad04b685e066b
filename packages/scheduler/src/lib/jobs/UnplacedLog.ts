/**
 * Logs which tasks wait for room, and why no worker runs them.
 *
 * @module
 */
import { demandOf, stepOf, type PlacementRound, type UnplacedStep } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'

/** Tasks that wait for less are not logged: most find room within this time. */
const MIN_WAIT_MS = 3000
/** Minimum interval between two looks at the waiting tasks. */
const INTERVAL_MS = 1000
/** Limits of one look: the longest waiting steps are examined, and few lines written. */
const MAX_STEPS = 50
const MAX_LINES = 3
/** An unchanged reason is logged again after this time. */
const REPEAT_INTERVAL_MS = 30_000

interface LoggedStep { readonly summary: string, readonly atMs: number }

/** Logs the steps that wait, when they are new or their reason has changed. */
export class UnplacedLog {
  readonly #log: EventLog
  #lastLogged: ReadonlyMap<string, LoggedStep> = new Map()
  #lookedMs = -Infinity

  /** @param log - receives the lines */
  constructor (log: EventLog) {
    this.#log = log
  }

  /**
   * Logs what waits after a round.
   *
   * @param round - the round, once its runs are tracked
   * @param nowMs - monotonic time
   */
  write (round: Pick<PlacementRound, 'listUnplaced'>, nowMs: number): void {
    if (nowMs - this.#lookedMs < INTERVAL_MS) return
    this.#lookedMs = nowMs
    let lines = 0
    const logged = new Map<string, LoggedStep>()
    for (const step of round.listUnplaced(MIN_WAIT_MS, MAX_STEPS)) {
      const { stepKey } = step.task
      const summary = `${step.reason} ${Object.keys(step.workers).join()}`
      const last = this.#lastLogged.get(stepKey)
      if (last !== undefined) logged.set(stepKey, last)
      if ((last?.summary === summary && nowMs - last.atMs < REPEAT_INTERVAL_MS) || lines >= MAX_LINES) continue
      logged.set(stepKey, { summary, atMs: nowMs })
      lines++
      this.#writeLine(step)
    }
    this.#lastLogged = logged
  }

  #writeLine ({ task, taskCount, waitedMs, reason, workers }: UnplacedStep): void {
    const step = stepOf(task)
    const waiting = { jobId: task.job.spec.jobId, stepKey: task.stepKey, tasks: taskCount, waitedMs: Math.round(waitedMs) }
    this.#log.info({ ...waiting, wants: demandOf(step), label: step.requiredLabel, reason, workers }, 'tasks wait for room')
  }
}
