/**
 * Schedules jobs of steps and tasks: any entry host accepts them, and one elected host for each service places and tracks their runs.
 *
 * @module
 */
export { JobApi, type JobApiOptions, type OutdatedOutcome, type OverloadedOutcome, type SubmissionTerms, type SubmitOutcome, type StatusOutcome, type CancelOutcome, type WaitingOutcome } from './lib/jobs/JobApi.js'
export type { EventLog } from './lib/duties/EventLog.js'
export { SchedulerMetrics } from './lib/duties/SchedulerMetrics.js'
export { MonitoredStore } from './lib/records/MonitoredStore.js'
export { RecordReader, type RecordProblem } from './lib/records/RecordReader.js'
export { DutyElector, type DutyElectorOptions } from './lib/duties/DutyElector.js'
export type { SchedulerBounds, ServiceSchedulerOptions } from './lib/duties/ServiceSchedulerOptions.js'
export { ConfigurationWatcher, type ConfigurationWatcherOptions } from './lib/records/ConfigurationWatcher.js'
export { FleetReport, type DutyRow, type FleetReportSources, type JobExplanation, type ServiceRow, type ZoneReport } from './lib/jobs/FleetReport.js'
export type { ZoneRow } from './lib/workers/listZones.js'
export { BacklogWatcher, type BacklogWatcherOptions, type KnownBacklog } from './lib/pressure/BacklogWatcher.js'
export { JobMemoryBound, type JobMemoryBoundOptions, type JobMemoryRefusal } from './lib/pressure/JobMemoryBound.js'
export { JobAdmission, type AdmissionRefusal, type JobAdmissionOptions } from './lib/pressure/JobAdmission.js'
export { accountsOf, type AccountDirectory } from './lib/accounts/AccountDirectory.js'
export { hashKey, keyTagOf } from './lib/accounts/hashKey.js'
export { matchQueue, type QueueMatch } from './lib/jobs/matchQueue.js'
export { MachineDuty, type MachineDutyOptions } from './lib/machines/MachineDuty.js'
export { ServiceScheduler } from './lib/duties/ServiceScheduler.js'
export { backlogKey, serviceDutyKey, MACHINE_DUTY_KEY } from './lib/records/storeKeys.js'
