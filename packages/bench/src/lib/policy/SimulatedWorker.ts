/**
 * A worker of the simulated fleet, as the decisions see it, and what really happens on it.
 *
 * @module
 */
import type { WorkerInstance } from '@quillscale/ports'
import { WorkerHealth, type Run, type WorkerView } from '@quillscale/policy'

/** What really becomes of a run. */
export interface TrueRun {
  readonly run: Run
  readonly startsMs: number
  endsMs: number
  /** Its start never arrived. */
  readonly isLost: boolean
}

/** The worker. */
export class SimulatedWorker implements WorkerView {
  readonly runs = new Map<string, Run>()
  readonly trueRuns = new Map<Run, TrueRun>()
  readonly clock = { isKnown: true }
  readonly health = new WorkerHealth()
  readonly acceptsRuns = true
  readonly isRecordedSilent = false
  readonly coldUntilMs = -Infinity
  refusingUntilMs = -Infinity
  /** It neither hears nor answers. */
  isCut = false
  /** When it last answered. */
  answeredMs = 0
  slowness = 1
  readonly #silentAfterMs: number

  /** @param instance - as registered @param silentAfterMs - without an answer for so long it gets no work */
  constructor (readonly instance: WorkerInstance, silentAfterMs: number) {
    this.#silentAfterMs = silentAfterMs
  }

  isAnswering (nowMs: number): boolean {
    return nowMs - this.answeredMs < this.#silentAfterMs
  }

  /** @param run - placed here @param startsMs - when the order arrives @param runMs - how long it takes on a sound worker */
  begin (run: Run, startsMs: number, runMs: number): void {
    this.runs.set(`${run.taskKey}#${run.runNumber}`, run)
    const isLost = this.isCut
    this.trueRuns.set(run, { run, startsMs, endsMs: isLost ? Infinity : startsMs + runMs * this.slowness, isLost })
    run.phase = 'running'
    run.startedMs = startsMs
  }

  /** @param run - that is over or given up */
  remove (run: Run): void {
    this.runs.delete(`${run.taskKey}#${run.runNumber}`)
    this.trueRuns.delete(run)
  }
}
