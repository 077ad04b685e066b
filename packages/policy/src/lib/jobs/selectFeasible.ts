/**
 * Selects the waiting jobs that can still finish in time with the room there is.
 *
 * Earliest deadline first starts every job at its last moment once the queue is longer than the slack, and finishes nearly all of them late.
 * Jobs for which there is no room in time are therefore postponed, so that the others start early enough.
 *
 * @module
 */
import { mapResources, minus, plus, RESOURCE_KINDS, type Resources } from '../quotas/resources.js'
import type { StepRank } from './rankStep.js'

/** Capacity until a job's turn, as a multiple of the present one: machines on their way come in before it, some is lost to tasks that do not fit. */
const EXPECTED_CAPACITY = 1.4
/** Share of a job's own work that has to be done before its last tasks can start. */
const OWN_WORK_SHARE = 0.5
/** Share of the work under way that is ahead of the queue: runs end one after another, and the queue takes the room of each as it ends. */
const UNDER_WAY_SHARE = 0.5
/** Spare time before the latest start: orders and records take time, and the longest task of a step takes longer than its mean. */
const MARGIN_MS = 250
const MARGIN_SHARE = 0.1
/** Share of a job's worth that does not depend on its work, and the work, as a multiple of the mean, from which on it adds nothing. */
const FLAT_WORTH = 0.3
const MAX_TIMES_MEAN = 4
/** Share of the jobs, the largest, that give way to no other. */
const PROTECTED_SHARE = 0.2

/** A job with unfinished work, in one of its occurrences. @public */
export interface FeasibilityCandidate {
  /** Identifies the occurrence of the job. */
  readonly key: string
  readonly rank: StepRank
}

/** What the tasks of a service have to themselves. @public */
export interface FeasibilityRoom {
  /** Capacity of the available workers that lasting runs leave. */
  readonly capacity: Resources
  /** Expected remaining work of the finite runs under way, in resources times ms. */
  readonly workUnderWay: Resources
}

/** Which jobs were postponed, and from what that follows. @public */
export interface FeasibilitySelection {
  /** Keys of the jobs without room in time. */
  readonly postponed: ReadonlySet<string>
  /** Jobs that were considered and have not begun. */
  readonly waiting: number
  /** Time until the work under way and of all jobs that are not postponed is done; infinite without capacity. */
  readonly aheadMs: number
}

/**
 * Walks the jobs in the order in which they would start and where a turn would come too late postpones the job with the least worth by work up to
 * it. Jobs that have begun are never
 * postponed. Late jobs are held against the last moment at which they are of use. While every turn of a tier comes in time nothing of it is
 * postponed; only otherwise does a job also need the spare time.
 *
 * @param candidates - jobs with unfinished finite work
 * @param room - the capacity and what occupies it
 * @param wallMs - current wall-clock time
 * @returns the selection
 * @public
 */
export function selectFeasible (candidates: readonly FeasibilityCandidate[], room: FeasibilityRoom, wallMs: number): FeasibilitySelection {
  const inTurn = [...candidates].sort((a, b) => compareTurns(a.rank, b.rank))
  const postponed = new Set<string>()
  let ahead = mapResources((kind) => room.workUnderWay[kind] * UNDER_WAY_SHARE)
  for (const tier of new Set(inTurn.map(({ rank }) => rank.tier))) {
    const sameTier = inTurn.filter(({ rank }) => rank.tier === tier)
    let walk = walkTurns(sameTier, room.capacity, ahead, wallMs, false)
    if (walk.postponed.length > 0) walk = walkTurns(sameTier, room.capacity, ahead, wallMs, true)
    for (const key of walk.postponed) postponed.add(key)
    ahead = walk.ahead
  }
  return { postponed, waiting: inTurn.filter(({ rank }) => !hasBegun(rank)).length, aheadMs: durationMs(ahead, room.capacity) }
}

interface Walk { readonly postponed: readonly string[], readonly ahead: Resources }

function walkTurns (inTurn: readonly FeasibilityCandidate[], capacity: Resources, aheadBefore: Resources, wallMs: number, hasMargin: boolean): Walk {
  const postponed: string[] = []
  const { worthOf, isProtected } = weigh(inTurn)
  let kept: FeasibilityCandidate[] = []
  let ahead = aheadBefore
  for (const candidate of inTurn) {
    const { rank } = candidate
    const spareMs = hasMargin ? MARGIN_MS + MARGIN_SHARE * rank.leftMs : 0
    const turnMs = durationMs(ahead, capacity) + OWN_WORK_SHARE * durationMs(rank.queuedWork, capacity)
    ahead = plus(ahead, rank.queuedWork)
    if (hasBegun(rank)) continue
    kept.push(candidate)
    if (wallMs + turnMs + spareMs <= latestStartMs(rank, wallMs)) continue
    const least = kept.filter((one) => !isProtected(one)).reduce((a, b) => worthOf(b) < worthOf(a) ? b : a, candidate)
    kept = kept.filter((one) => one !== least)
    postponed.push(least.key)
    ahead = minus(ahead, least.rank.queuedWork)
  }
  return { postponed, ahead }
}

interface Weights { readonly worthOf: (candidate: FeasibilityCandidate) => number, readonly isProtected: (candidate: FeasibilityCandidate) => boolean }

/** Weighs jobs by their worth for their work, which is least for the largest; the largest fifth gives way to no job after it, or none of it would be served. */
function weigh (candidates: readonly FeasibilityCandidate[]): Weights {
  const workOf = ({ rank }: FeasibilityCandidate): number => rank.queuedWork.cpuMillis
  const works = candidates.map(workOf).sort((a, b) => a - b)
  const largeWork = works[Math.floor(works.length * (1 - PROTECTED_SHARE))] ?? Infinity
  const meanWork = Math.max(1, works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length))
  return {
    worthOf: (one) => (FLAT_WORTH + (1 - FLAT_WORTH) * Math.min(MAX_TIMES_MEAN, workOf(one) / meanWork)) / Math.max(1, workOf(one)),
    isProtected: (one) => workOf(one) >= largeWork
  }
}

const hasBegun = ({ placedShare }: StepRank): boolean => placedShare > 0

/** The order of {@link compareRanks}, but for jobs that have begun, which all go first: their work is ahead of the others in any case. */
function compareTurns (a: StepRank, b: StepRank): number {
  return a.tier - b.tier || a.priority - b.priority || Number(hasBegun(b)) - Number(hasBegun(a)) || a.startByMs - b.startByMs
}

/** @param rank - of a job @param wallMs - current wall-clock time @returns until when its start makes it in time, or at least of use if it is late */
const latestStartMs = ({ startByMs, useByMs }: StepRank, wallMs: number): number => wallMs <= startByMs ? startByMs : useByMs

/** @param work - in resources times ms @param capacity - resources @returns how long it takes, by the scarcest resource */
function durationMs (work: Resources, capacity: Resources): number {
  const times = RESOURCE_KINDS.map((kind) => work[kind] <= 0 ? 0 : capacity[kind] <= 0 ? Infinity : work[kind] / (capacity[kind] * EXPECTED_CAPACITY))
  return Math.max(...times)
}
