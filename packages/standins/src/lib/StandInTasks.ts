/**
 * A stand-in for the tasks of one worker, with leases, slot usage, checkpoints and failures.
 *
 * @module
 */

interface StandInTask { leaseUntilMs: number, endsMs: number, uses: number, isFailing: boolean, startedMs: number }
/** Instructions for the stand-in, sent as JSON in a task's command. */
interface Command { workMs?: number, uses?: number, fails?: boolean }

/** Runs the tasks of one worker. @public */
export class StandInTasks {
  readonly #tasks = new Map<string, StandInTask>()
  readonly #onRun: (jobId: string) => void
  /** Whether all tasks that are started fail. */
  failsAll = false

  /** @param onRun - called with the job's id at each start of a task */
  constructor (onRun: (jobId: string) => void) {
    this.#onRun = onRun
  }

  /** Removes all tasks, as when the host goes down. */
  clear (): void {
    this.#tasks.clear()
  }

  /**
   * Carries out a call.
   *
   * @param call - `start`, `renew` or `stop`
   * @param body - the arguments of the call
   * @returns the answer
   */
  answer (call: string, body: Record<string, unknown>): unknown {
    const nowMs = Date.now()
    for (const [taskId, task] of this.#tasks) if (task.leaseUntilMs < nowMs && task.endsMs > nowMs) this.#tasks.delete(taskId)
    if (call === 'start') return this.#start(body, nowMs)
    if (call === 'stop') return this.#stop(String(body.taskId), nowMs)
    return { tasks: (body.taskIds as string[]).map((taskId) => this.#renew(taskId, Number(body.leaseMs), nowMs)) }
  }

  #start (body: Record<string, unknown>, nowMs: number): unknown {
    const taskId = String(body.taskId)
    if (this.#tasks.has(taskId)) return { outcome: 'started' }
    const { workMs = 100, uses = Number(body.slots), fails = false } = JSON.parse(String(body.command)) as Command
    const doneMs = Number(body.checkpoint ?? 0)
    this.#onRun(taskId.slice(0, taskId.lastIndexOf('.')))
    this.#tasks.set(taskId, {
      leaseUntilMs: nowMs + Number(body.leaseMs),
      startedMs: nowMs - doneMs,
      endsMs: nowMs + workMs - doneMs,
      uses,
      isFailing: fails || this.failsAll
    })
    return { outcome: 'started' }
  }

  #renew (taskId: string, leaseMs: number, nowMs: number): unknown {
    const task = this.#tasks.get(taskId)
    if (task === undefined) return { taskId, state: 'unknown-task', usedSlots: 0 }
    task.leaseUntilMs = nowMs + leaseMs
    if (task.isFailing) return { taskId, state: 'failed', usedSlots: task.uses, detail: 'it fails' }
    const checkpoint = String(nowMs - task.startedMs)
    return { taskId, state: nowMs >= task.endsMs ? 'done' : 'running', usedSlots: task.uses, checkpoint }
  }

  #stop (taskId: string, nowMs: number): unknown {
    const report = this.#renew(taskId, 0, nowMs)
    this.#tasks.delete(taskId)
    return report
  }
}
