/**
 * Jobs of steps and tasks: accepted at any entry host, run by one holder a service.
 *
 * @module
 */
export { JobDesk, type JobDeskOptions, type SubmitOutcome, type StatusOutcome, type CancelOutcome, type WaitingOutcome } from './lib/JobDesk.js'
export { isJobId, jobSpecSchema, stepProblem, stepSpecSchema, type JobId, type JobSpec, type StepSpec } from './lib/JobSpec.js'
export type { JobStatus } from './lib/JobState.js'
export type { EventLog } from './lib/EventLog.js'
export { SchedulerMetrics } from './lib/SchedulerMetrics.js'
export { MonitoredStore } from './lib/MonitoredStore.js'
export { DutyRoster, type DutyRosterOptions } from './lib/DutyRoster.js'
export type { SchedulerBounds, ServiceSchedulerOptions } from './lib/ServiceSchedulerOptions.js'
export { ConfigurationFollower, type ConfigurationFollowerOptions } from './lib/ConfigurationFollower.js'
export { FleetReport, type DutyRow, type JobExplanation, type ServiceRow } from './lib/FleetReport.js'
export { matchQueue } from './lib/matchQueue.js'
export { MachineDuty, type MachineDutyOptions } from './lib/MachineDuty.js'
export { ServiceScheduler } from './lib/ServiceScheduler.js'
export { serviceDutyKey, MACHINE_DUTY_KEY } from './lib/storeKeys.js'
