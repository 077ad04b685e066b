/**
 * Scheduling of jobs within a zone: placement, preemption by urgent jobs, run reports, size estimates and worker quarantine.
 *
 * @module
 */
export {
  ENDED_JOB_RETENTION_MS, MAX_JOBS_PER_ZONE, NO_JOBS, isEnded, isPlaced, jobSubmissionSchema, jobsDocumentSchema, taskIdOf,
  type Job, type JobSubmission, type JobsDocument
} from './lib/JobsDocument.js'
export { findUnschedulableReason, planJobs, type JobWorker, type JobsPlanningContext, type JobsPlan } from './lib/planJobs.js'
export { MAX_FAILED_HOSTS, applyRunReport, type ReportTiming, type RunReport } from './lib/applyRunReport.js'
export { JOB_SIZE_ESTIMATOR_DEFAULTS, JobSizeEstimator, type JobSizeEstimatorOptions } from './lib/JobSizeEstimator.js'
export { WORKER_HEALTH_DEFAULTS, WorkerHealth, type WorkerHealthOptions } from './lib/WorkerHealth.js'
export { SilentHosts } from './lib/SilentHosts.js'
export { WorkerLosses } from './lib/WorkerLosses.js'
