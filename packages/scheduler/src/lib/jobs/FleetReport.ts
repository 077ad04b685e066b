/**
 * Reports on jobs, duties and services for operators, read from the store.
 *
 * @module
 */
import { decodeJson, Err, Ok, type DecodeProblem, type Result } from '@quillscale/utils'
import type { EvacuationRequest, KeyValue, KeyValueStore, PlatformError, WorkerInstance } from '@quillscale/ports'
import { hasEnded, isLacking, type JobFailure, type JobId, type JobSpec, jobSpecSchema, machinesNeeded, predictWaitMs, sumGranted, type Resources } from '@quillscale/policy'
import { quotaKey, decodeQuotaRecord, type QuotaRecord } from '../accounts/quotaRecord.js'
import { explainEvacuations } from './explainEvacuations.js'
import { decodeProgress, joinProgress, type JobProgress } from './jobProgress.js'
import { decodeBacklog } from '../pressure/backlogRecord.js'
import type { RecordProblem } from '../records/RecordReader.js'
import { DEMAND_PREFIX, decodeDemand } from '../records/serviceDemand.js'
import {
  BACKLOG_PREFIX, backlogKey, cancelKey, DUTY_PREFIX, JOB_MEMORY_PREFIX, jobKey, MACHINE_DUTY_KEY, progressKey, progressPrefix, serviceDutyKey
} from '../records/storeKeys.js'
import { listZones, type ZoneRow } from '../workers/listZones.js'

/** The records of operators and workers, whose keys and formats the platform determines. @public */
export interface FleetReportSources {
  /** Prefix of the requests to evacuate availability zones. */
  readonly evacuationPrefix: string
  readonly decodeEvacuation: (item: KeyValue) => Result<EvacuationRequest, RecordProblem> | undefined
  /** Prefix of the registrations of workers. */
  readonly workersPrefix: string
  readonly decodeWorker: (item: KeyValue) => Result<WorkerInstance, RecordProblem>
}

/** The availability zones, and what is missing in the summary. @public */
export interface ZoneReport {
  readonly zones: readonly ZoneRow[]
  /** Keys of the progress records that cannot be read; their runs are not counted. */
  readonly unreadableKeys: readonly string[]
}

/** A duty and its current holder. @public */
export interface DutyRow { readonly duty: string, readonly holder: string, readonly fencingToken: number }

/** The machines that a service has and needs, and the CPU cores that it wants. @public */
export interface ServiceRow { readonly service: string, readonly machines: number, readonly machinesNeeded: number, readonly wantedCores: number }

/** The state of a job and the reasons for it. @public */
export interface JobExplanation {
  readonly jobId: JobId
  readonly service: string
  readonly queue: string
  /** The client account that submitted the job; `undefined` if it was submitted without an API key. */
  readonly account: string | undefined
  readonly status: string
  readonly ageMs: number
  /** One line for each step, or for the failure of a job that has ended, then one for each reason why tasks wait. */
  readonly lines: readonly string[]
}

const MILLIS_PER_CORE = 1000
const MS_PER_S = 1000

/** Builds reports for operators from the records in the store. @public */
export class FleetReport {
  readonly #store: KeyValueStore
  readonly #sources: FleetReportSources

  /** @param store - the store of the fleet @param sources - the records that the platform determines */
  constructor (store: KeyValueStore, sources: FleetReportSources) {
    this.#store = store
    this.#sources = sources
  }

  /**
   * Lists the duties that are currently held.
   *
   * @returns one row for each duty
   */
  async duties (): Promise<Result<DutyRow[], PlatformError>> {
    return (await this.#listDutyItems()).map(toDutyRows)
  }

  /** Lists the records of the duties, and of the backlogs beside them. */
  async #listDutyItems (): Promise<Result<readonly KeyValue[], PlatformError>> {
    return (await this.#store.list(DUTY_PREFIX)).map(({ items }) => items)
  }

  /**
   * Lists the services whose schedulers have published a demand record.
   *
   * @returns one row for each service
   */
  async services (): Promise<Result<ServiceRow[], PlatformError>> {
    const listed = await this.#store.list(DEMAND_PREFIX)
    return listed.map(({ items }) => items.flatMap(({ key, value }) => {
      const demand = decodeDemand(key.slice(DEMAND_PREFIX.length), value)
      // An unreadable demand record counts as missing, as it does for the holder of the machine duty.
      if (demand.err) return []
      const { service, runsByMachine, wantedMillis } = demand.val
      return { service, machines: runsByMachine.size, machinesNeeded: machinesNeeded(demand.val), wantedCores: wantedMillis / MILLIS_PER_CORE }
    }))
  }

  /**
   * Summarizes the availability zones. Runs are read last: a run that is missing had ended, or was recorded after the evacuations were read.
   *
   * @returns one row for each zone, and the records that could not be read
   */
  async zones (): Promise<Result<ZoneReport, PlatformError>> {
    const evacuations = await this.#listEvacuations()
    if (evacuations.err) return evacuations
    const [workers, services] = await Promise.all([this.#listWorkers(), this.services()])
    if (workers.err) return workers
    if (services.err) return services
    const names = new Set([...workers.val, ...services.val].map(({ service }) => service))
    const runs: Array<{ service: string, instanceId: string }> = []
    const unreadableKeys: string[] = []
    for (const service of names) {
      const listed = await this.#store.list(progressPrefix(service))
      if (listed.err) return listed
      for (const { key, value } of listed.val.items) {
        const progress = decodeProgress(value)
        if (progress.err) unreadableKeys.push(key)
        else for (const task of progress.val.tasks) for (const { instanceId } of task.runs ?? []) runs.push({ service, instanceId })
      }
    }
    return Ok({ zones: listZones({ evacuations: evacuations.val, workers: workers.val, runs }), unreadableKeys })
  }

  /**
   * Explains the state of a job.
   *
   * @param jobId - the job to explain
   * @param wallMs - current wall-clock time
   * @returns the explanation; `undefined` if no service that has published a demand record has this job
   */
  async explain (jobId: JobId, wallMs: number): Promise<Result<JobExplanation | undefined, PlatformError>> {
    const services = await this.services()
    if (services.err) return services
    for (const row of services.val) {
      const record = await this.#store.get(jobKey(row.service, jobId))
      if (record.err) return record
      if (record.val === undefined) continue
      const [progress, cancel, duties] = await Promise.all([
        this.#readProgress(progressKey(row.service, jobId)), this.#store.get(cancelKey(row.service, jobId)), this.#listDutyItems()
      ])
      if (progress.err) return progress
      if (cancel.err) return cancel
      if (duties.err) return duties
      const spec = decodeJson(jobSpecSchema, record.val.value)
      if (spec.err) return unreadableRecord(record.val.key, spec.val)
      const quota = await this.#readQuota(spec.val)
      if (quota.err) return quota
      const evacuations = await this.#listEvacuations()
      if (evacuations.err) return evacuations
      const workers: Result<WorkerInstance[], PlatformError> = evacuations.val.length === 0 ? Ok([]) : await this.#listWorkers()
      if (workers.err) return workers
      const records = { progress: progress.val, isCancelled: cancel.val !== undefined, dutyItems: duties.val, quota: quota.val }
      return Ok(explainJob(spec.val, row, { ...records, evacuations: evacuations.val, workers: workers.val }, wallMs))
    }
    return Ok(undefined)
  }

  /** Reads all progress records of a job. @param key - key of the first one */
  async #readProgress (key: string): Promise<Result<JobProgress | undefined, PlatformError>> {
    const listed = await this.#store.list(key)
    if (listed.err) return listed
    const records: JobProgress[] = []
    for (const item of listed.val.items.filter((each) => each.key === key || each.key.startsWith(`${key}/`))) {
      const decoded = decodeProgress(item.value)
      if (decoded.err) return unreadableRecord(item.key, decoded.val)
      records.push(decoded.val)
    }
    return Ok(joinProgress(records))
  }

  /** Lists the evacuations; as for the hosts, unreadable requests count as missing. */
  async #listEvacuations (): Promise<Result<EvacuationRequest[], PlatformError>> {
    const { evacuationPrefix, decodeEvacuation } = this.#sources
    const listed = await this.#store.list(evacuationPrefix)
    return listed.map(({ items }) => items.map(decodeEvacuation).flatMap((decoded) => decoded?.ok === true ? [decoded.val] : []))
  }

  /** Lists the workers of all services; as for the hosts, unreadable registrations count as missing. */
  async #listWorkers (): Promise<Result<WorkerInstance[], PlatformError>> {
    const { workersPrefix, decodeWorker } = this.#sources
    const listed = await this.#store.list(workersPrefix)
    return listed.map(({ items }) => items.map(decodeWorker).flatMap((decoded) => decoded.ok ? [decoded.val] : []))
  }

  async #readQuota ({ owner }: JobSpec): Promise<Result<QuotaRecord | undefined, PlatformError>> {
    if (owner === undefined) return Ok(undefined)
    const key = quotaKey(owner.account)
    const record = await this.#store.get(key)
    if (record.err) return record
    if (record.val === undefined) return Ok(undefined)
    const decoded = decodeQuotaRecord(record.val.value)
    return decoded.err ? unreadableRecord(key, decoded.val) : decoded
  }
}

interface JobRecords {
  readonly progress: JobProgress | undefined
  readonly isCancelled: boolean
  readonly dutyItems: readonly KeyValue[]
  /** `undefined` if the account has no limit, or has not run anything yet. */
  readonly quota: QuotaRecord | undefined
  readonly evacuations: readonly EvacuationRequest[]
  /** Registered workers of all services; empty unless there are evacuations. */
  readonly workers: readonly WorkerInstance[]
}

function unreadableRecord (key: string, { path, detail }: DecodeProblem): Result<never, PlatformError> {
  return Err({ kind: 'unavailable', detail: `${key} cannot be read: ${path === '' ? '' : `${path}: `}${detail}` })
}

function explainJob (spec: JobSpec, row: ServiceRow, records: JobRecords, wallMs: number): JobExplanation {
  const { progress } = records
  const status = progress?.status ?? 'queued'
  const hasJobEnded = hasEnded({ status })
  const reasons = hasJobEnded ? [] : reasonsToWait(spec, row, records)
  const steps = hasJobEnded ? failureLines(progress?.failure) : spec.steps.map((_, index) => explainStep(spec, index, progress))
  const { jobId, queue, owner, submittedMs } = spec
  return { jobId, service: row.service, queue, account: owner?.account, status, ageMs: wallMs - submittedMs, lines: [...steps, ...reasons] }
}

function evacuationReasons (spec: JobSpec, { service }: ServiceRow, { progress, evacuations, workers }: JobRecords): string[] {
  const waitingSteps = spec.steps.flatMap(({ taskCount, dependsOn }, index) => {
    if (dependsOn.some((dependency) => !isStepDone(spec, dependency, progress))) return []
    const notWaiting = tasksOfStep(index, progress).filter(({ isDone, isGivenUp, runs = [] }) => isDone === true || isGivenUp === true || runs.length > 0)
    return notWaiting.length < taskCount ? [index] : []
  })
  return explainEvacuations(spec, { waitingSteps, evacuations, workers: workers.filter((worker) => worker.service === service) })
}

function reasonsToWait (spec: JobSpec, row: ServiceRow, records: JobRecords): string[] {
  const { progress, isCancelled, dutyItems, quota } = records
  const backlog = progress === undefined || progress.status === 'queued' ? backlogReasons(row.service, dutyItems) : []
  return [
    ...waitReasons(row, isCancelled, toDutyRows(dutyItems)), ...quotaReasons(row.service, quota), ...backlog, ...evacuationReasons(spec, row, records)
  ]
}

function explainStep (spec: JobSpec, index: number, progress: JobProgress | undefined): string {
  const step = spec.steps[index]
  const tasks = tasksOfStep(index, progress)
  const placed = tasks.flatMap(({ runs }) => runs ?? [])
  const failures = tasks.reduce((sum, task) => sum + (task.failures ?? 0), 0)
  const givenUp = tasks.filter(({ isGivenUp }) => isGivenUp)
  const pendingSteps = (step?.dependsOn ?? []).filter((dependency) => !isStepDone(spec, dependency, progress))
  const instanceIds = [...new Set(placed.map(({ instanceId }) => instanceId))]
  return [
    `step ${index}: ${countDone(tasks)} of ${step?.taskCount ?? 0} done, ${placed.length} placed`, instanceIds.length === 0 ? '' : `on ${instanceIds.join(' ')}`,
    failures === 0 ? '' : `${failures} runs failed`,
    givenUp.length === 0 ? '' : `given up, as they ended the workers that started them: ${givenUp.map(({ key }) => key).join(' ')}`,
    pendingSteps.length === 0 ? '' : `waits for step ${pendingSteps.join(' and ')}`
  ].filter((part) => part !== '').join(', ')
}

function isStepDone (spec: JobSpec, index: number, progress: JobProgress | undefined): boolean {
  return countDone(tasksOfStep(index, progress)) >= (spec.steps[index]?.taskCount ?? 0)
}

/** Returns the recorded tasks of a step; tasks that were never placed are not recorded. */
function tasksOfStep (index: number, progress: JobProgress | undefined): JobProgress['tasks'] {
  return (progress?.tasks ?? []).filter(({ key }) => Number(key.split('.')[2]) === index)
}

const countDone = (tasks: JobProgress['tasks']): number => tasks.filter(({ isDone }) => isDone).length

const isDutyHeld = (dutyKey: string, duties: readonly DutyRow[]): boolean => duties.some(({ duty }) => `${DUTY_PREFIX}${duty}` === dutyKey)

function failureLines (failure: JobFailure | undefined): string[] {
  return failure === undefined ? [] : [`${FAILURE_TEXTS[failure.reason]}: ${failure.taskKey}`]
}

const FAILURE_TEXTS: Readonly<Record<JobFailure['reason'], string>> = {
  attempts: 'a task of it failed as often as its queue allows', crashes: 'a task of it ended the workers that started it'
}

function quotaReasons (service: string, quota: QuotaRecord | undefined): string[] {
  const claim = quota?.claims.find((each) => each.service === service)
  if (quota === undefined || claim === undefined || !isLacking(claim)) return []
  const [has, wants, all] = [claim.granted, claim.wanted, sumGranted(quota.claims)].map(formatResources)
  return [`account ${quota.account} has ${has} for ${service} and wants ${wants}; all its services have ${all}`]
}

/** Names the backlog that the present holder of a service has published. An unreadable record counts as missing, as it does for all hosts. */
function backlogReasons (service: string, dutyItems: readonly KeyValue[]): string[] {
  const item = dutyItems.find(({ key }) => key === backlogKey(service))
  const decoded = item === undefined ? undefined : decodeBacklog(item.value)
  if (decoded?.ok !== true) return []
  const { fencingToken, backlog } = decoded.val
  if (!dutyItems.some(({ key, modRevision }) => key === serviceDutyKey(service) && modRevision === fencingToken)) return []
  const waitS = predictWaitMs(backlog, Infinity, 0) / MS_PER_S
  return [`${service} is under pressure: new jobs of its lowest priority wait ${waitS.toFixed(1)} s or longer`]
}

/** Prefixes below that of the duties whose keys are none. */
const NO_DUTY_PREFIXES = [BACKLOG_PREFIX, JOB_MEMORY_PREFIX]
const toDutyRows = (items: readonly KeyValue[]): DutyRow[] => items.filter(({ key }) => !NO_DUTY_PREFIXES.some((prefix) => key.startsWith(prefix)))
  .map(({ key, value, modRevision }) => ({ duty: key.slice(DUTY_PREFIX.length), holder: value.split('#')[0] ?? '', fencingToken: modRevision }))

const formatResources = ({ cpuMillis, memoryMb, gpus }: Resources): string => `${cpuMillis} mcpu, ${memoryMb} MB${gpus === 0 ? '' : `, ${gpus} GPUs`}`

function waitReasons (row: ServiceRow, isCancelled: boolean, duties: readonly DutyRow[]): string[] {
  const isScheduled = isDutyHeld(serviceDutyKey(row.service), duties)
  const isShort = row.machinesNeeded > row.machines
  const areMachinesHeld = isDutyHeld(MACHINE_DUTY_KEY, duties)
  return [
    isCancelled ? 'it is being cancelled' : '',
    isScheduled ? '' : `nobody schedules ${row.service}: its duty is vacant`,
    isShort ? `${row.service} has ${row.machines} machines and needs ${row.machinesNeeded}` : '',
    isShort && !areMachinesHeld ? 'nobody moves machines: that duty is vacant' : ''
  ].filter((reason) => reason !== '')
}
