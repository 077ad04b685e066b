/**
 * Checks the promises of the program against the record of a run.
 *
 * @module
 */
import { QUEUE_ATTEMPTS, type FleetRunRecord } from '@quillscale/platform-fleet'
import type { History, JobView, RotatedCall } from './History.js'
import { ACCOUNTS, APPLY_MS } from './SoakAccounts.js'

/** A violation of a promise. @public */
export interface BrokenPromise { readonly promise: string, readonly detail: string }

/**
 * Bounds as at the users' sites: a cancelled job starts no task later than `CANCEL_START_MS` after the acknowledgement, its running tasks stop within
 * `CANCEL_STOP_MS` after that, and an accepted job is visible on every host after `JOB_VISIBLE_MS`.
 */
const CANCEL_START_MS = 3000
const CANCEL_STOP_MS = 1000
const JOB_VISIBLE_MS = 3000
/** Bound as at the users' sites: time after a worker saw the effect of a version from which the host behind it answers by no older one. */
const ROLLBACK_SLACK_MS = 250
/** Minimum time between orders of two duty holders for one machine. */
const MIN_HOLDER_CHANGE_MS = 3000
/** A request whose connection breaks within this time may not have been read by the host, and does not count as aborted. */
const UNREAD_REQUEST_MS = 200
/**
 * Bounds as at the users' sites: a task that crashed `CRASH_LIMIT` workers may be started `MAX_EXTRA_STARTS` more times, and a reduced capacity must be
 * respected after `CAPACITY_UPDATE_MS`.
 */
const CRASH_LIMIT = 3
const MAX_EXTRA_STARTS = 2
const CAPACITY_UPDATE_MS = 3000 + 1500

/** Time after the acknowledgement of an evacuation from which no run may start in its zone. */
const EVACUATE_MS = 5000

const OK = 200
const UNAUTHORIZED = 401
const NOT_FOUND = 404

const jobIdOf = (taskKey: string): string => taskKey.split('.')[0] ?? ''
const stepOf = (taskKey: string): number => Number(taskKey.split('.')[2])
const endOf = (run: FleetRunRecord): number => run.endedMs ?? Infinity

function groupBy<T> (items: readonly T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item])
  return groups
}

function findLostJobs ({ jobs }: History): string[] {
  return jobs.filter(({ submitted }) => submitted === 'accepted').flatMap((job) => {
    const isLastingJob = job.steps.some(({ isLasting }) => isLasting)
    const expectedState = job.crashesWorkers ? 'failed' : isLastingJob ? 'running' : 'succeeded'
    const isExpected = job.finalState === expectedState || (job.isCancelSent && ['cancelled', 'succeeded'].includes(job.finalState))
    return isExpected ? [] : [`${job.jobId} was accepted, but its final state is "${job.finalState}"`]
  })
}

function findForgottenJobs ({ jobs }: History): string[] {
  return jobs.flatMap(({ jobId, acceptedMs, isCancelSent, unknownAtMs }) => {
    const unknownMs = unknownAtMs.find((atMs) => acceptedMs !== undefined && atMs > acceptedMs + JOB_VISIBLE_MS)
    return unknownMs === undefined || isCancelSent ? [] : [`${jobId} was accepted at ${acceptedMs}, but a host did not know it at ${unknownMs}`]
  })
}

function findRefusedJobRuns ({ jobs, runs }: History): string[] {
  const refused = new Set(jobs.filter(({ submitted }) => submitted === 'refused').map(({ jobId }) => jobId))
  return runs.filter(({ taskKey }) => refused.has(jobIdOf(taskKey))).map(({ taskKey }) => `${taskKey} ran although its job was refused`)
}

function findUnrequestedRuns ({ jobs, runs }: History): string[] {
  const submitted = new Set(jobs.map(({ jobId }) => jobId))
  return runs.filter(({ taskKey }) => !submitted.has(jobIdOf(taskKey))).map(({ taskKey }) => `${taskKey} ran although its job was never submitted`)
}

/** Whether the runs overlap in time, or the second follows a completion that the scheduler had acknowledged. */
function isDuplicate (first: FleetRunRecord, second: FleetRunRecord): boolean {
  return second.startedMs < endOf(first) || (first.end === 'done' && first.isAcknowledged)
}

function findDuplicateRuns ({ runs }: History): string[] {
  return [...groupBy(runs, ({ taskKey }) => taskKey)].flatMap(([taskKey, taskRuns]) => {
    const sorted = [...taskRuns].sort((a, b) => a.startedMs - b.startedMs)
    const isRepeated = sorted.some((first, index) => sorted.slice(index + 1).some((second) => isDuplicate(first, second)))
    return isRepeated ? [`${taskKey} ran twice: ${sorted.map((run) => `#${run.runNumber}@${run.instanceId} ${run.startedMs}-${run.endedMs} ${run.end}`).join(', ')}`] : []
  })
}

function findStepOrderViolations ({ jobs, runs }: History): string[] {
  const byJob = groupBy(runs, ({ taskKey }) => jobIdOf(taskKey))
  return jobs.flatMap((job) => (byJob.get(job.jobId) ?? []).filter((run) => !isInOrder(job, run, byJob.get(job.jobId) ?? []))
    .map(({ taskKey }) => `${taskKey} started before the steps that it depends on were complete`))
}

function isInOrder (job: JobView, run: FleetRunRecord, jobRuns: readonly FleetRunRecord[]): boolean {
  return (job.steps[stepOf(run.taskKey)]?.dependsOn ?? []).every((earlier) => {
    const done = jobRuns.filter((other) => stepOf(other.taskKey) === earlier && other.end === 'done' && endOf(other) <= run.startedMs)
    return new Set(done.map(({ taskKey }) => taskKey)).size === job.steps[earlier]?.taskCount
  })
}

function findRunsAfterCancel ({ jobs, runs }: History): string[] {
  const cancelled = new Map(jobs.map(({ jobId, cancelAcknowledgedMs }) => [jobId, cancelAcknowledgedMs]))
  return runs.flatMap((run) => {
    const atMs = cancelled.get(jobIdOf(run.taskKey))
    if (atMs === undefined) return []
    if (run.startedMs > atMs + CANCEL_START_MS) return [`${run.taskKey} started ${run.startedMs - atMs} ms after its cancel was acknowledged`]
    return endOf(run) > atMs + CANCEL_START_MS + CANCEL_STOP_MS + RUN_LEASE_MS ? [`${run.taskKey} was still running after its cancel and its lease`] : []
  })
}

/** Duration of a run's lease; runs of an unreachable worker end with it. */
const RUN_LEASE_MS = 7000

/** Finds lasting tasks that an order ended while the allowed number of tasks of their step were already away because of orders. */
function findExceededBudgets ({ jobs, runs }: History): string[] {
  const lasting = jobs.filter(({ steps, isCancelSent }) => !isCancelSent && steps[0]?.isLasting === true && steps[0].maxAway !== undefined)
  return lasting.flatMap((job) => {
    const jobRuns = runs.filter(({ taskKey }) => jobIdOf(taskKey) === job.jobId)
    const ordered = jobRuns.filter((run) => run.end === 'stopped' || run.endedByOrder)
    const tasks = groupBy(jobRuns, ({ taskKey }) => taskKey)
    return ordered.flatMap((run) => {
      const away = [...tasks].filter(([taskKey, runsOfTask]) => taskKey !== run.taskKey && isAwayByOrder(runsOfTask, endOf(run)))
      return away.length < (job.steps[0]?.maxAway ?? Infinity) ? [] : [`${run.taskKey} was ended at ${run.endedMs} while ${away.length} other tasks of its step were away`]
    })
  })
}

function isAwayByOrder (runs: readonly FleetRunRecord[], atMs: number): boolean {
  const before = runs.filter(({ startedMs }) => startedMs <= atMs).sort((a, b) => b.startedMs - a.startedMs)[0]
  return before !== undefined && endOf(before) < atMs && (before.end === 'stopped' || before.endedByOrder)
}

function findConflictingHolders ({ orders }: History): string[] {
  return [...groupBy(orders, ({ machineId }) => machineId)].flatMap(([machineId, machineOrders]) => machineOrders.slice(1).flatMap((order, index) => {
    const before = machineOrders[index]
    if (before === undefined || before.holder === order.holder) return []
    if (order.fencingToken <= before.fencingToken) return [`${machineId}: the fencing token fell from ${before.fencingToken} to ${order.fencingToken}`]
    return order.atMs - before.atMs < MIN_HOLDER_CHANGE_MS ? [`${machineId}: two duty holders ordered it within ${order.atMs - before.atMs} ms`] : []
  }))
}

function findOversizedWaves ({ orders, maxInUpkeep }: History): string[] {
  return orders.filter(({ kind, inUpkeep }) => kind === 'upkeep' && inUpkeep > maxInUpkeep).map(({ machineId, inUpkeep }) => `${machineId}: ${inUpkeep} machines of a wave were down for maintenance`)
}

function findAbortedRequests ({ broken }: History): string[] {
  return broken.filter(({ sentMs, brokenMs }) => brokenMs - sentMs > UNREAD_REQUEST_MS)
    .map(({ hostName, sentMs, brokenMs }) => `${hostName} aborted a request ${brokenMs - sentMs} ms after it was sent, during a planned stop`)
}

function findUnexpectedExits ({ ends }: History): string[] {
  return ends.filter(({ signal, exitCode }) => signal === '' || (signal === 'SIGTERM' && exitCode !== 0))
    .map(({ hostName, signal, exitCode }) => `${hostName} exited with code ${exitCode} after ${signal === '' ? 'no signal' : signal}`)
}

function findConfigurationViolations ({ probes }: History): string[] {
  return probes.filter(({ status, mayExist, mayBeMissing }) => (status === 404 && !mayBeMissing) || (status === 200 && !mayExist))
    .map(({ hostName, status, sentMs }) => `${hostName} answered ${status} at ${sentMs}, contrary to the configuration in force`)
}

/** Finds hosts that answered that there is no such queue after a worker had started a job of it by their order, while the queue existed all the time. */
function findHostsGoneBack ({ jobs, runs, lookups, extraQueueChanges, tenures, ends }: History): string[] {
  const hosts = new Map(tenures.map(({ fencingToken, hostName }) => [fencingToken, hostName]))
  const sentMs = new Map(jobs.map((job) => [job.jobId, job.sentToExtraQueueMs]))
  const removals = extraQueueChanges.filter(({ exists }) => !exists)
  return runs.flatMap(({ taskKey, fencingToken, startedMs }) => {
    const hostName = hosts.get(fencingToken)
    const jobSentMs = sentMs.get(jobIdOf(taskKey))
    if (jobSentMs === undefined) return []
    const denial = lookups.find((lookup) => lookup.hostName === hostName && lookup.status === 404 && lookup.sentMs > startedMs + ROLLBACK_SLACK_MS &&
      !removals.some(({ atMs }) => atMs > jobSentMs - APPLY_MS && atMs <= lookup.answeredMs) &&
      !ends.some((end) => end.hostName === hostName && end.atMs > startedMs && end.atMs < lookup.answeredMs))
    return denial === undefined ? [] : [`${hostName} denied the queue of ${taskKey} at ${denial.sentMs}, although it had started the task at ${startedMs}`]
  })
}

/** Finds jobs that were written for a queue which the configuration in the store lacked, and had lacked since before they were sent. */
function findJobsOfMissingQueues ({ jobs, storedJobs, configurations }: History): string[] {
  const sentMs = new Map(jobs.map((job) => [job.jobId, job.sentToExtraQueueMs]))
  return storedJobs.flatMap(({ jobId, revision }) => {
    const jobSentMs = sentMs.get(jobId)
    const [inForce] = configurations.filter((configuration) => configuration.revision < revision).sort((a, b) => b.revision - a.revision)
    if (jobSentMs === undefined || inForce === undefined || inForce.hasExtraQueue || inForce.writtenMs > jobSentMs) return []
    return [`${jobId} was accepted at revision ${revision}, although the configuration of revision ${inForce.revision} lacks its queue`]
  })
}

/** Finds tasks that were started too often after the third worker had crashed under them. */
function findUnboundedCrashes ({ jobs, runs }: History): string[] {
  const crashing = new Set(jobs.filter(({ crashesWorkers }) => crashesWorkers).map(({ jobId }) => jobId))
  const runsByTask = groupBy(runs.filter(({ taskKey }) => crashing.has(jobIdOf(taskKey))), ({ taskKey }) => taskKey)
  return [...runsByTask].flatMap(([taskKey, runsOfTask]) => {
    const ends = runsOfTask.filter((run) => run.end === undefined && run.endedMs !== undefined && !run.endedByOrder).map(endOf).sort((a, b) => a - b)
    const limitReachedMs = ends[CRASH_LIMIT - 1] ?? Infinity
    const starts = runsOfTask.filter(({ startedMs }) => startedMs > limitReachedMs).length
    return starts <= MAX_EXTRA_STARTS ? [] : [`${taskKey} was started ${starts} times after three workers had crashed under it`]
  })
}

/** Finds jobs that a host showed as failed although they crash no workers and no task of theirs had failed as often as allowed. */
function findUncausedFailures ({ jobs, runs }: History): string[] {
  return jobs.filter(({ submitted, crashesWorkers }) => submitted === 'accepted' && !crashesWorkers).flatMap(({ jobId, steps, failedAtMs }) => {
    const failures = groupBy(runs.filter(({ taskKey, end }) => jobIdOf(taskKey) === jobId && end === 'failed' && steps[stepOf(taskKey)]?.isLasting === false), ({ taskKey }) => taskKey)
    const atMs = failedAtMs.find((seenMs) => ![...failures.values()].some((failed) => failed.filter((run) => endOf(run) <= seenMs).length >= QUEUE_ATTEMPTS))
    return atMs === undefined ? [] : [`${jobId} was shown as failed at ${atMs}`]
  })
}

/** Finds submissions that were answered by a configuration which was not in the store any more when they were sent. */
function findOutdatedAcceptances ({ rotatedCalls }: History): string[] {
  const outdated = rotatedCalls.filter(({ isSubmission, status, sentMs, rotation }) => isSubmission && status === OK && rotation.removedMs < sentMs)
  return outdated.map(({ hostName, jobId, sentMs, rotation: { removedMs, toVersion } }) =>
    `${hostName} accepted ${jobId}, sent at ${sentMs}, ${Math.round(sentMs - removedMs)} ms after version ${toVersion} had taken its key or queue away`)
}

/**
 * Finds hosts that answered by an older version than one under which a job had been accepted before they could place it, after they had started that
 * job in the same lifetime of their process.
 */
function findAnswersGoneBack ({ jobs, runs, tenures, ends, rotatedCalls }: History): string[] {
  const hosts = new Map(tenures.map(({ fencingToken, hostName }) => [fencingToken, hostName]))
  const accepted = groupBy(rotatedCalls.filter(({ isSubmission, status }) => isSubmission && status === OK), ({ jobId }) => jobId)
  const shown = new Map(jobs.map(({ jobId, startsAfterMs = -Infinity }) => {
    const before = accepted.get(jobId)?.filter(({ answeredMs }) => answeredMs < startsAfterMs) ?? []
    return [jobId, Math.max(0, ...before.map(({ rotation }) => rotation.fromVersion))]
  }))
  return runs.flatMap(({ taskKey, fencingToken, startedMs }) => {
    const hostName = hosts.get(fencingToken)
    const version = shown.get(jobIdOf(taskKey)) ?? 0
    const later = rotatedCalls.filter((call) => !call.isSubmission && call.hostName === hostName && call.sentMs > startedMs + ROLLBACK_SLACK_MS)
    const answer = later.find((call) => isOlderThan(version, call) &&
      !ends.some((end) => end.hostName === hostName && end.atMs > startedMs && end.atMs < call.answeredMs))
    return answer === undefined ? [] : [`${hostName} answered ${answer.status} at ${answer.sentMs} by a version before ${version}, with which it had started ${taskKey} at ${startedMs}`]
  })
}

function findLagsShown ({ lagAnswers }: History): string[] {
  return lagAnswers.filter(({ isOutdated }) => isOutdated)
    .map(({ hostName, name, status, sentMs, startedMs }) => `${hostName} answered ${status} to ${name}, ${Math.round(sentMs - startedMs)} ms after it had started the job of a newer version`)
}

/** Whether an answer can only come from a version before the given one. */
function isOlderThan (version: number, { status, isByQueue, rotation: { fromVersion, toVersion, removingMs }, answeredMs }: RotatedCall): boolean {
  if (status === OK) return toVersion <= version
  return status === (isByQueue ? NOT_FOUND : UNAUTHORIZED) && fromVersion <= version && removingMs > answeredMs
}

function findOverloads ({ overloads }: History): string[] {
  return overloads.filter(({ atMs, shrunkMs }) => atMs - shrunkMs > CAPACITY_UPDATE_MS)
    .map(({ machineId, atMs, shrunkMs }) => `${machineId} was ordered to start a task beyond its capacity ${atMs - shrunkMs} ms after its capacity was reduced`)
}

function findKeyViolations ({ keyProbes }: History): string[] {
  return keyProbes.filter(({ status, mayHold, mustHold }) => (status === UNAUTHORIZED && mustHold) || (status === OK && !mayHold))
    .map(({ hostName, status, sentMs }) => `${hostName} answered ${status} at ${sentMs}, contrary to the keys in force`)
}

function findLimitViolations ({ jobs, runs, limits }: History): string[] {
  const limited = new Set(jobs.filter(({ account }) => account === ACCOUNTS[0]).map(({ jobId }) => jobId))
  const limitedRuns = runs.filter(({ taskKey }) => limited.has(jobIdOf(taskKey)))
  return limitedRuns.flatMap(({ taskKey, startedMs }) => {
    const running = limitedRuns.filter((other) => other.startedMs <= startedMs && endOf(other) > startedMs).length
    const inForce = limits.filter(({ atMs }, index) => atMs <= startedMs && (limits[index + 1]?.atMs ?? Infinity) > startedMs - APPLY_MS)
    const allowed = Math.max(...inForce.map(({ tasks }) => tasks))
    return running <= allowed ? [] : [`${taskKey} brought its account to ${running} running tasks, of which ${allowed} are allowed`]
  })
}

function findStartsInEvacuatedZones ({ runs, evacuations }: History): string[] {
  return runs.flatMap(({ taskKey, instanceId, availabilityZone: zone, startedMs }) => {
    const broken = evacuations.find(({ availabilityZone, acknowledgedMs, withdrawnMs }) =>
      availabilityZone === zone && startedMs > acknowledgedMs + EVACUATE_MS && startedMs < withdrawnMs)
    return broken === undefined ? [] : [`${taskKey} started on ${instanceId} ${startedMs - broken.acknowledgedMs} ms after the evacuation of ${zone} was acknowledged`]
  })
}

/** Every promise with the function that returns its violations in a run. @public */
export const PROMISES: Readonly<Record<string, (history: History) => string[]>> = {
  'an accepted job is kept': findLostJobs,
  'an accepted job is known': findForgottenJobs,
  'a refused job never runs': findRefusedJobRuns,
  'nothing runs unasked': findUnrequestedRuns,
  'no task runs twice': findDuplicateRuns,
  'steps run in their order': findStepOrderViolations,
  'a cancelled job ends': findRunsAfterCancel,
  'no more lasting tasks away than allowed': findExceededBudgets,
  'one holder orders a machine': findConflictingHolders,
  'waves are bounded': findOversizedWaves,
  'a planned stop cuts nothing off': findAbortedRequests,
  'processes end only when told': findUnexpectedExits,
  'configuration holds and never goes back': findConfigurationViolations,
  'a host knows the queues of the jobs that it starts': findHostsGoneBack,
  'a job is accepted only while its queue exists': findJobsOfMissingQueues,
  'a submission is answered by no older configuration than the store held': findOutdatedAcceptances,
  'no host goes back from a version': findAnswersGoneBack,
  'no host that lags goes back from what it has started': findLagsShown,
  'a task that crashes workers is given up': findUnboundedCrashes,
  'no job is shown as failed without a cause': findUncausedFailures,
  'no worker is overloaded': findOverloads,
  'keys hold': findKeyViolations,
  'limits hold': findLimitViolations,
  'an evacuated zone gets no new runs': findStartsInEvacuatedZones
}

/** Checks all promises. @param history - the record of a run @returns every violation @public */
export function checkPromises (history: History): BrokenPromise[] {
  return Object.entries(PROMISES).flatMap(([promise, check]) => check(history).map((detail) => ({ promise, detail })))
}
