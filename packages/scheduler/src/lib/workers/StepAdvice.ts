/**
 * What the placement advice service has said about the workers of one step.
 *
 * @module
 */
import { smallestOf } from '@quillscale/utils'

/** A worker may be asked about again this long after it was refused, in case its refusal did not concern the worker itself. */
const REFUSAL_MS = 10_000

/** Advice for one worker: a ticket, or a refusal. */
interface WorkerAdvice { readonly ticket: string | undefined, readonly untilMs: number }

/** Keeps the advice for one step, and selects the workers to ask about next. @public */
export class StepAdvice {
  readonly #workers = new Map<string, WorkerAdvice>()
  #tickets: ReadonlyMap<string, string> = new Map()
  /** When the first of the tickets expires. */
  #ticketsUntilMs = Infinity

  /** Number of workers with advice. */
  get size (): number {
    return this.#workers.size
  }

  /**
   * @param nowMs - monotonic time
   * @returns the valid ticket of each worker that has one
   */
  ticketsAt (nowMs: number): ReadonlyMap<string, string> {
    if (nowMs < this.#ticketsUntilMs) return this.#tickets
    const valid = [...this.#workers].filter(([, { ticket, untilMs }]) => ticket !== undefined && nowMs < untilMs)
    this.#ticketsUntilMs = smallestOf(valid.map(([, { untilMs }]) => untilMs))
    this.#tickets = new Map(valid.map(([instanceId, { ticket = '' }]) => [instanceId, ticket]))
    return this.#tickets
  }

  /** @param instanceIds - workers @param nowMs - monotonic time @returns whether there is no valid advice for some of them */
  isMissingFor (instanceIds: readonly string[], nowMs: number): boolean {
    return instanceIds.some((instanceId) => nowMs >= (this.#workers.get(instanceId)?.untilMs ?? -Infinity))
  }

  /**
   * Selects the workers to ask about next. Half of them at most had a ticket, as long as there are others without advice; those that were refused come
   * last. What expired first is asked about first, so that a worker that refuses each ticket keeps no other from being asked about.
   *
   * @param instanceIds - workers that could run a task of the step, best first
   * @param most - the most workers to select
   * @param nowMs - monotonic time
   * @returns the workers, best first; empty if there is advice for all of them
   */
  nextWorkers (instanceIds: readonly string[], most: number, nowMs: number): readonly string[] {
    const unknown = instanceIds.filter((instanceId) => !this.#workers.has(instanceId))
    const due = instanceIds.flatMap((instanceId) => {
      const advice = this.#workers.get(instanceId)
      return advice === undefined || nowMs < advice.untilMs ? [] : [{ instanceId, ...advice }]
    }).sort((a, b) => a.untilMs - b.untilMs)
    const expired = due.filter(({ ticket }) => ticket !== undefined).map(({ instanceId }) => instanceId)
    const refused = due.filter(({ ticket }) => ticket === undefined).map(({ instanceId }) => instanceId)
    const renewed = expired.slice(0, Math.max(Math.ceil(most / 2), most - unknown.length))
    return [...renewed, ...[...unknown, ...refused].slice(0, most - renewed.length)]
  }

  /**
   * Adds an answer.
   *
   * @param instanceIds - the workers asked about
   * @param tickets - tickets of those that may run the step
   * @param untilMs - monotonic time until which the tickets are valid
   * @param nowMs - monotonic time
   */
  add (instanceIds: readonly string[], tickets: ReadonlyMap<string, string>, untilMs: number, nowMs: number): void {
    for (const instanceId of instanceIds) {
      const ticket = tickets.get(instanceId)
      this.#workers.set(instanceId, { ticket, untilMs: ticket === undefined ? nowMs + REFUSAL_MS : untilMs })
    }
    this.#ticketsUntilMs = -Infinity
  }

  /** Ends a ticket early. @param instanceId - the worker, which refused it @param nowMs - monotonic time */
  expire (instanceId: string, nowMs: number): void {
    const ticket = this.#workers.get(instanceId)?.ticket
    if (ticket === undefined) return
    this.#workers.set(instanceId, { ticket, untilMs: nowMs })
    this.#ticketsUntilMs = -Infinity
  }
}
