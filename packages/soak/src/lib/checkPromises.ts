/**
 * Checks the promises of the program against what was seen of it.
 *
 * @module
 */
import type { FleetRunRecord } from '@quillscale/platform-fleet'
import type { History, JobView } from './History.js'
import { ACCOUNTS, APPLY_MS } from './SoakAccounts.js'

/** A promise that was not kept. @public */
export interface BrokenPromise { readonly promise: string, readonly detail: string }

/** A cancelled job starts nothing after this, and runs nothing a stop later; a job is told of after this. From the users' sites. */
const CANCEL_MS = 3000
const STOP_MS = 1000
const VISIBLE_MS = 3000
/** Orders of two holders for one machine are this far apart. */
const HOLDER_CHANGE_MS = 3000
/** A request counts as read if its connection broke later than this after it was sent. */
const LOSS_SLACK_MS = 200
/** After so many workers ended under a task it may be started so often more; a room that shrank counts after this. From the users' sites. */
const CRASHES = 3
const MOST_STARTS_MORE = 2
const SHRUNK_COUNTS_MS = 3000 + 1500

const OK = 200
const UNAUTHORIZED = 401

const jobIdOf = (taskKey: string): string => taskKey.split('.')[0] ?? ''
const stepOf = (taskKey: string): number => Number(taskKey.split('.')[2])
const endOf = (run: FleetRunRecord): number => run.endedMs ?? Infinity

function groupBy<T> (items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item])
  return groups
}

function acceptedAreKept ({ jobs }: History): string[] {
  return jobs.filter(({ submitted }) => submitted === 'accepted').flatMap((job) => {
    const lasts = job.steps.some(({ isLasting }) => isLasting)
    const goal = job.crashesWorkers ? 'failed' : lasts ? 'running' : 'succeeded'
    const isGood = job.finalState === goal || (job.isCancelSent && ['cancelled', 'succeeded'].includes(job.finalState))
    return isGood ? [] : [`${job.jobId} was accepted and is shown as "${job.finalState}"`]
  })
}

function acceptedAreKnown ({ jobs }: History): string[] {
  return jobs.flatMap(({ jobId, acceptedMs, isCancelSent, unknownAtMs }) => {
    const lateMs = unknownAtMs.find((atMs) => acceptedMs !== undefined && atMs > acceptedMs + VISIBLE_MS)
    return lateMs === undefined || isCancelSent ? [] : [`${jobId} was accepted at ${acceptedMs} and not known at ${lateMs}`]
  })
}

function refusedNeverRun ({ jobs, runs }: History): string[] {
  const refused = new Set(jobs.filter(({ submitted }) => submitted === 'refused').map(({ jobId }) => jobId))
  return runs.filter(({ taskKey }) => refused.has(jobIdOf(taskKey))).map(({ taskKey }) => `${taskKey} ran though its job was refused`)
}

function nothingUnasked ({ jobs, runs }: History): string[] {
  const known = new Set(jobs.map(({ jobId }) => jobId))
  return runs.filter(({ taskKey }) => !known.has(jobIdOf(taskKey))).map(({ taskKey }) => `${taskKey} ran and nobody asked for it`)
}

/** Two runs at a time, or one after an end that was taken note of. */
function overlaps (first: FleetRunRecord, second: FleetRunRecord): boolean {
  return second.startedMs < endOf(first) || (first.end === 'done' && first.isAcknowledged)
}

function noTaskTwice ({ runs }: History): string[] {
  return [...groupBy(runs, ({ taskKey }) => taskKey)].flatMap(([taskKey, ofTask]) => {
    const sorted = [...ofTask].sort((a, b) => a.startedMs - b.startedMs)
    const isDoubled = sorted.some((first, index) => sorted.slice(index + 1).some((second) => overlaps(first, second)))
    return isDoubled ? [`${taskKey} ran twice: ${sorted.map((run) => `#${run.runNumber}@${run.instanceId} ${run.startedMs}-${run.endedMs} ${run.end}`).join(', ')}`] : []
  })
}

function stepsInOrder ({ jobs, runs }: History): string[] {
  const byJob = groupBy(runs, ({ taskKey }) => jobIdOf(taskKey))
  return jobs.flatMap((job) => (byJob.get(job.jobId) ?? []).filter((run) => !isInOrder(job, run, byJob.get(job.jobId) ?? []))
    .map(({ taskKey }) => `${taskKey} started before the steps that it depends on were done`))
}

function isInOrder (job: JobView, run: FleetRunRecord, ofJob: readonly FleetRunRecord[]): boolean {
  return (job.steps[stepOf(run.taskKey)]?.dependsOn ?? []).every((earlier) => {
    const done = ofJob.filter((other) => stepOf(other.taskKey) === earlier && other.end === 'done' && endOf(other) <= run.startedMs)
    return new Set(done.map(({ taskKey }) => taskKey)).size === job.steps[earlier]?.taskCount
  })
}

function cancelledEnd ({ jobs, runs }: History): string[] {
  const cancelled = new Map(jobs.map(({ jobId, cancelAcknowledgedMs }) => [jobId, cancelAcknowledgedMs]))
  return runs.flatMap((run) => {
    const atMs = cancelled.get(jobIdOf(run.taskKey))
    if (atMs === undefined) return []
    if (run.startedMs > atMs + CANCEL_MS) return [`${run.taskKey} started ${run.startedMs - atMs} ms after its cancel was acknowledged`]
    return endOf(run) > atMs + CANCEL_MS + STOP_MS + RUN_LEASE_MS ? [`${run.taskKey} ran on after its cancel`] : []
  })
}

/** Runs of a worker that nobody reaches end with their lease. */
const RUN_LEASE_MS = 7000

/** An order took a lasting task away while so many others of its step were away by orders. */
function budgetsHold ({ jobs, runs }: History): string[] {
  const lasting = jobs.filter(({ steps, isCancelSent }) => !isCancelSent && steps[0]?.isLasting === true && steps[0].maxAway !== undefined)
  return lasting.flatMap((job) => {
    const ofJob = runs.filter(({ taskKey }) => jobIdOf(taskKey) === job.jobId)
    const ordered = ofJob.filter((run) => run.end === 'stopped' || run.endedByOrder)
    const tasks = groupBy(ofJob, ({ taskKey }) => taskKey)
    return ordered.flatMap((run) => {
      const away = [...tasks].filter(([taskKey, its]) => taskKey !== run.taskKey && isAwayByOrder(its, endOf(run)))
      return away.length < (job.steps[0]?.maxAway ?? Infinity) ? [] : [`${run.taskKey} was ended at ${run.endedMs} while ${away.length} others of its step were away`]
    })
  })
}

function isAwayByOrder (runs: readonly FleetRunRecord[], atMs: number): boolean {
  const before = runs.filter(({ startedMs }) => startedMs <= atMs).sort((a, b) => b.startedMs - a.startedMs)[0]
  return before !== undefined && endOf(before) < atMs && (before.end === 'stopped' || before.endedByOrder)
}

function oneHolderAMachine ({ orders }: History): string[] {
  return [...groupBy(orders, ({ machineId }) => machineId)].flatMap(([machineId, its]) => its.slice(1).flatMap((order, index) => {
    const before = its[index]
    if (before === undefined || before.holder === order.holder) return []
    if (order.fencingToken <= before.fencingToken) return [`${machineId}: the token fell from ${before.fencingToken} to ${order.fencingToken}`]
    return order.atMs - before.atMs < HOLDER_CHANGE_MS ? [`${machineId}: two holders ordered it within ${order.atMs - before.atMs} ms`] : []
  }))
}

function wavesAreBounded ({ orders, maxInUpkeep }: History): string[] {
  return orders.filter(({ kind, inUpkeep }) => kind === 'upkeep' && inUpkeep > maxInUpkeep).map(({ machineId, inUpkeep }) => `${machineId}: ${inUpkeep} were down for upkeep`)
}

function plannedStopsCutNothing ({ broken }: History): string[] {
  return broken.filter(({ sentMs, brokenMs }) => brokenMs - sentMs > LOSS_SLACK_MS)
    .map(({ hostName, sentMs, brokenMs }) => `${hostName} was stopped as planned and broke a request off that it had had for ${brokenMs - sentMs} ms`)
}

function processesLive ({ ends }: History): string[] {
  return ends.filter(({ signal, exitCode }) => signal === '' || (signal === 'SIGTERM' && exitCode !== 0))
    .map(({ hostName, signal, exitCode }) => `${hostName} ended with ${exitCode} after ${signal === '' ? 'nothing' : signal}`)
}

function configurationHolds ({ probes }: History): string[] {
  return probes.filter(({ status, mayExist, mayBeMissing }) => (status === 404 && !mayBeMissing) || (status === 200 && !mayExist))
    .map(({ hostName, status, sentMs }) => `${hostName} answered ${status} at ${sentMs} against the configuration in force`)
}

/** Of one job's tasks: starts after the third worker ended under the task. */
function crashingAreBounded ({ jobs, runs }: History): string[] {
  const crashing = new Set(jobs.filter(({ crashesWorkers }) => crashesWorkers).map(({ jobId }) => jobId))
  const ofTasks = groupBy(runs.filter(({ taskKey }) => crashing.has(jobIdOf(taskKey))), ({ taskKey }) => taskKey)
  return [...ofTasks].flatMap(([taskKey, its]) => {
    const ends = its.filter((run) => run.end === undefined && run.endedMs !== undefined && !run.endedByOrder).map(endOf).sort((a, b) => a - b)
    const thirdMs = ends[CRASHES - 1] ?? Infinity
    const starts = its.filter(({ startedMs }) => startedMs > thirdMs).length
    return starts <= MOST_STARTS_MORE ? [] : [`${taskKey} was started ${starts} times after three workers had ended under it`]
  })
}

function roomsHold ({ overloads }: History): string[] {
  return overloads.filter(({ atMs, shrunkMs }) => atMs - shrunkMs > SHRUNK_COUNTS_MS)
    .map(({ machineId, atMs, shrunkMs }) => `${machineId} was told to start what did not fit, ${atMs - shrunkMs} ms after it had shrunk`)
}

function keysHold ({ keyProbes }: History): string[] {
  return keyProbes.filter(({ status, mayHold, mustHold }) => (status === UNAUTHORIZED && mustHold) || (status === OK && !mayHold))
    .map(({ hostName, status, sentMs }) => `${hostName} answered ${status} at ${sentMs} against the keys in force`)
}

function limitsHold ({ jobs, runs, limits }: History): string[] {
  const limited = new Set(jobs.filter(({ account }) => account === ACCOUNTS[0]).map(({ jobId }) => jobId))
  const its = runs.filter(({ taskKey }) => limited.has(jobIdOf(taskKey)))
  return its.flatMap(({ taskKey, startedMs }) => {
    const running = its.filter((other) => other.startedMs <= startedMs && endOf(other) > startedMs).length
    const inForce = limits.filter(({ atMs }, index) => atMs <= startedMs && (limits[index + 1]?.atMs ?? Infinity) > startedMs - APPLY_MS)
    const allowed = Math.max(...inForce.map(({ tasks }) => tasks))
    return running <= allowed ? [] : [`${taskKey} was started as the ${running}th at once of an account that may have ${allowed}`]
  })
}

/** Every promise, and how it is checked. @public */
export const PROMISES: Readonly<Record<string, (history: History) => string[]>> = {
  'an accepted job is kept': acceptedAreKept,
  'an accepted job is known': acceptedAreKnown,
  'a refused job never runs': refusedNeverRun,
  'nothing runs unasked': nothingUnasked,
  'no task runs twice': noTaskTwice,
  'steps run in their order': stepsInOrder,
  'a cancelled job ends': cancelledEnd,
  'no more lasting tasks away than allowed': budgetsHold,
  'one holder orders a machine': oneHolderAMachine,
  'waves are bounded': wavesAreBounded,
  'a planned stop cuts nothing off': plannedStopsCutNothing,
  'processes end only when told': processesLive,
  'configuration holds and never goes back': configurationHolds,
  'a task that crashes workers is given up': crashingAreBounded,
  'no worker is overloaded': roomsHold,
  'keys hold': keysHold,
  'limits hold': limitsHold
}

/** @param history - of a run @returns every broken promise @public */
export function checkPromises (history: History): BrokenPromise[] {
  return Object.entries(PROMISES).flatMap(([promise, check]) => check(history).map((detail) => ({ promise, detail })))
}
