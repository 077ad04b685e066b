/**
 * Decisions about jobs, tasks and machines: functions of what is known and the present time.
 *
 * @module
 */
export {
  clearIfSurvived, isSuspect, judgeTask, LOSS_POINTS, mayCrash, SOON_MS, type LossKind, type Verdict
} from './lib/jobs/crashes.js'
export { createCrashRecord, type CrashRecord } from './lib/jobs/CrashRecord.js'
export {
  isJobId, isOwnedBy, jobOwnerSchema, jobSpecSchema, stepProblem, stepSpecSchema, type JobId, type JobOwner, type JobSpec, type StepSpec
} from './lib/jobs/JobSpec.js'
export {
  allTasks, createJob, dueMs, findTask, hasEnded, isWholeJobDone, openSteps, stepOf, tasksOf, timesOf,
  type Job, type JobFailure, type JobStatus, type Run, type RunPhase, type Task
} from './lib/jobs/JobState.js'
export { compareRanks, rankStep, TIERS, type StepRank } from './lib/jobs/rankJobs.js'
export { RunTimes } from './lib/jobs/RunTimes.js'
export { dutyWaitMs, type DutyCandidate } from './lib/duties/dutyWaitMs.js'
export { demandOf, type DemandSources } from './lib/machines/demandOf.js'
export { countPools, machinesNeeded, planPools, LASTING_RUN_WEIGHT, type PoolCount, type PoolMove, type PoolView, type ServiceDemand } from './lib/machines/planPools.js'
export { isAtWork, mayBeAway, planLeave, planVacate } from './lib/machines/planVacate.js'
export { planWave, type WaveView } from './lib/machines/planWave.js'
export { NEED_MEMORY_MS, ServiceNeeds } from './lib/machines/ServiceNeeds.js'
export { PlacementRound, type PlacementRoundOptions, type TicketSource } from './lib/placement/PlacementRound.js'
export { cpuDemandOf, occupy, placeTasks, type Placement } from './lib/placement/placeTasks.js'
export type { PlacementGroup, WorkerRoom } from './lib/placement/WorkerRoom.js'
export { planPaces, type PaceChange } from './lib/placement/planPaces.js'
export { isLacking, planGrant, sumGranted, type QuotaClaim, type GrantPlan, type OwnClaim } from './lib/quotas/planGrant.js'
export { QuotaRound, type AccountRoom, type AccountRooms, type QuotaShortage } from './lib/quotas/QuotaRound.js'
export { ShareMeter } from './lib/quotas/ShareMeter.js'
export { fitsWithin, least, mapResources, minus, NO_RESOURCES, plus, RESOURCE_KINDS, resourcesOf, times, unlimitedWhereZero, type Resources } from './lib/quotas/resources.js'
export { stillFits } from './lib/placement/stillFits.js'
export { WorkerHealth } from './lib/placement/WorkerHealth.js'
export type { WorkerView } from './lib/placement/WorkerView.js'
