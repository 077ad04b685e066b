/**
 * Scheduling decisions about jobs, tasks and machines, computed from the state passed in and the current time.
 *
 * @module
 */
export {
  isCrashSuspect, decidePlacement, CRASH_POINTS, mayCrashWorker, startMsOf, hasSurvivedUntil, knownSurvivalMs,
  EARLY_LOSS_MS, START_SURVIVAL_MS, type WorkerLossKind, type PlacementDecision
} from './lib/jobs/crashes.js'
export { createCrashRecord, type CrashRecord } from './lib/jobs/CrashRecord.js'
export {
  encodeJobSpec, isJobId, isOwnedBy, jobOwnerSchema, jobSpecSchema, findDependencyProblem, MAX_STEPS, restrictedOwner, stepSpecSchema,
  type JobId, type JobOwner, type JobSpec, type StepSpec
} from './lib/jobs/JobSpec.js'
export { createSubmissionId, type SubmissionId } from './lib/jobs/SubmissionId.js'
export {
  createJob, dueMs, hasEnded, isOpen, stepOf, taskOrdinal, tasksPerOccurrence, occurrenceCount,
  type Job, type JobFailure, type JobStatus, type Run, type RunPhase, type Task
} from './lib/jobs/JobState.js'
export { allTasks, createdTasksIn, findTask, gangOf, hasOpenTask, isJobDone, rangesBetween, retireOccurrence, taskKeyOf, tasksOf, type TaskRange } from './lib/jobs/jobTasks.js'
export { fitsMemory, memoryOfJob, type JobMemoryUse } from './lib/jobs/jobMemory.js'
export { effectiveTerms, maxAttemptsOf, queueTermsOf, type QueueTerms } from './lib/jobs/QueueTerms.js'
export { compareRanks, rankStep, RANK_TIERS, type StepRank } from './lib/jobs/rankStep.js'
export { RunTimeEstimator } from './lib/jobs/RunTimeEstimator.js'
export { dutyClaimDelayMs, type DutyCandidate } from './lib/duties/dutyClaimDelayMs.js'
export { computeServiceDemand, type DemandSources } from './lib/machines/computeServiceDemand.js'
export {
  countPools, machinesNeeded, planPools, LASTING_RUN_WEIGHT, type PoolCount, type PoolMove, type PoolPlanningInput, type ServiceDemand
} from './lib/machines/planPools.js'
export { EVACUATION_STATES, planEvacuation, type EvacuationState } from './lib/machines/planEvacuation.js'
export { countOthersAway, isReportedReady, isDisruptionAllowed, planLeavingWorkerDrain, planDrain } from './lib/machines/planDrain.js'
export { planWave, type WavePlanningInput } from './lib/machines/planWave.js'
export { NEED_WINDOW_MS, MachineNeedTracker } from './lib/machines/MachineNeedTracker.js'
export { PlacementRound, type PlacementRoundOptions, type TicketSource } from './lib/placement/PlacementRound.js'
export { createWorkerRoom } from './lib/placement/createWorkerRoom.js'
export { findRoomFor, occupy, placeTasks, type Placement } from './lib/placement/placeTasks.js'
export { cpuDemandOf, demandOf } from './lib/placement/suitability.js'
export type { PlacementObstacle, UnplacedStep } from './lib/placement/explainUnplaced.js'
export type { PlacementGroup, WorkerRoom } from './lib/placement/WorkerRoom.js'
export { planPaces, type PaceChange } from './lib/placement/planPaces.js'
export { isLacking, planGrant, sumGranted, type QuotaClaim, type GrantPlan, type OwnClaim } from './lib/quotas/planGrant.js'
export { createEmptyClaim, createNextClaim, createOwnClaim, needsWrite, type ClaimInputs } from './lib/quotas/quotaClaims.js'
export type { Backlog, BacklogRow } from './lib/pressure/Backlog.js'
export { computeBacklog, type BacklogSources } from './lib/pressure/computeBacklog.js'
export { decideAdmission, type AdmissionDecision, type AdmissionInput } from './lib/pressure/decideAdmission.js'
export { predictWaitMs } from './lib/pressure/predictWaitMs.js'
export { QuotaAdmission, type AccountQuota, type AccountQuotaLookup, type QuotaShortage } from './lib/quotas/QuotaAdmission.js'
export { AccountTokenBuckets } from './lib/quotas/AccountTokenBuckets.js'
export {
  fitsWithin, least, mapResources, minus, NO_RESOURCES, plus, RESOURCE_KINDS, resourcesOf, times, unlimitedWhereZero, type Resources
} from './lib/quotas/resources.js'
export { countsAsCapacity, countUnavailable, findUnavailability, type AvailabilityContext, type UnavailabilityReason } from './lib/placement/unavailability.js'
export { coldUntilMs } from './lib/placement/warmup.js'
export { OrderWindow } from './lib/placement/OrderWindow.js'
export { StartRoom } from './lib/placement/StartRoom.js'
export { WorkerHealth } from './lib/placement/WorkerHealth.js'
export type { WorkerView } from './lib/placement/WorkerView.js'
