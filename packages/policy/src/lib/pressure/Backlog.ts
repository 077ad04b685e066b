/**
 * What is known of the finite work ahead of new jobs of a service.
 *
 * @module
 */

/** How long work of a priority and of all higher ones fills the room of a service. @public */
export interface BacklogRow {
  /** Priority of queues; 0 is the highest. */
  readonly priority: number
  /** For how long no new job of a lower priority can start. */
  readonly waitMs: number
  /** CPU of the largest task of that work; smaller tasks may start in the gaps that it leaves. */
  readonly taskMillis: number
}

/** Work ahead and room of a service, as its scheduler last measured them. @public */
export interface Backlog {
  /** Capacity of the available workers without what lasting runs take, in thousandths of a core. */
  readonly roomMillis: number
  /** The part of it that no run takes. */
  readonly freeMillis: number
  /** The largest such part on one worker. */
  readonly largestFreeMillis: number
  /** Ascending by priority number; one row for each priority with waiting work. */
  readonly ahead: readonly BacklogRow[]
  /** Learned run times in ms of the images that wait, since clients' guesses are far off. */
  readonly runTimes: ReadonlyArray<readonly [image: string, runMs: number]>
}
