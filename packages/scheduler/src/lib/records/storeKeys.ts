/**
 * Keys of the scheduler's records in the store. Each service has prefixes of its own, so that the holder of its duty watches only its records.
 *
 * @module
 */
import type { WorkerId } from '@quillscale/ports'
import type { JobId } from '@quillscale/policy'

/** Prefix of the records for a service's scheduler: accepted jobs, cancellations, requests to drain machines, and reports of lost machines. @public */
export const inboxPrefix = (service: string): string => `inbox/${service}/`
/** Key of an accepted job; written once by the host that accepts it. @public */
export const jobKey = (service: string, jobId: JobId): string => `inbox/${service}/${jobId}`
/** Value of a cancellation; any other value cancels nothing. @public */
export const CANCEL_VALUE = '1'
/**
 * Key of the service that a job belongs to, by the id of the job alone; written together with the job. It keeps the job with that service when its queue
 * moves to another one. It lies outside the inboxes, so that no scheduler lists or watches it.
 * If the id was cancelled before it had a job, it holds a record of that instead (`EarlyCancellations`).
 *
 * @public
 */
export const jobServiceKey = (jobId: JobId): string => `job-service/${jobId}`
/** Names of services that keep the keys made from them within the limits of the store. */
const SERVICE_NAME_PATTERN = /^[^/]{1,120}$/
/** @param value - value of a {@link jobServiceKey} @returns whether it can name a service; another writer may have left anything there @public */
export const isServiceName = (value: string): boolean => SERVICE_NAME_PATTERN.test(value)
/** @param jobId - an id @param services - services that may have a job of it @returns the keys of which one exists once the id was accepted @public */
export const acceptanceKeys = (jobId: JobId, services: readonly string[]): string[] =>
  [jobServiceKey(jobId), ...services.map((service) => jobKey(service, jobId))]
/** Key of the cancellation of a job. @public */
export const cancelKey = (service: string, jobId: JobId): string => `inbox/${service}/${jobId}/cancel`
/** Prefix of the requests to drain machines of a service. @public */
export const vacatePrefix = (service: string): string => `inbox/${service}/vacate/`
/** Key of the request to drain a machine; written by the holder of the machine duty. @public */
export const vacateKey = (service: string, machineId: string): string => `inbox/${service}/vacate/${machineId}`
/** Key of the report that a worker's machine is down or gone; written by the holder of the machine duty, removed by the scheduler. @public */
export const goneKey = (service: string, workerId: WorkerId): string => `inbox/${service}/gone/${workerId}`
/** Prefix of the lease timers of a service's silent workers. @public */
export const leaseTimerPrefix = (service: string): string => `lease-timers/${service}/`
/** Key of a timer for silent workers. The scheduler writes it under a lease of the store that ends once the workers' leases have expired. @public */
export const leaseTimerKey = (service: string, timer: string): string => `${leaseTimerPrefix(service)}${timer}`
/** Key of the list of workers that have runs and do not answer; written only by the scheduler. @public */
export const silentWorkersKey = (service: string): string => `silent/${service}`
/** Prefix of the progress of a service's jobs; written only by the scheduler. @public */
export const progressPrefix = (service: string): string => `progress/${service}/`
/** Key of the progress of a job. @public */
export const progressKey = (service: string, jobId: JobId): string => `progress/${service}/${jobId}`
/** Key of the progress of some tasks of a large job. @public */
export const progressPartKey = (service: string, jobId: JobId, part: number): string => `${progressKey(service, jobId)}/${part}`
/** Keys of the records that each job has, which are removed some time after it has ended. @public */
export const recordKeysOf = (service: string, jobId: JobId): readonly string[] =>
  [jobKey(service, jobId), jobServiceKey(jobId), cancelKey(service, jobId), progressKey(service, jobId)]
/** Key of the number of the scheduler's last transaction. @public */
export const chainKey = (service: string): string => `chain/${service}`
/** Prefix of the numbers of waiting jobs in all services. @public */
export const WAITING_PREFIX = 'waiting/'
/** Key of the number of waiting jobs in each queue; written by the scheduler. @public */
export const waitingKey = (service: string): string => `${WAITING_PREFIX}${service}`
/** Prefix of the confirmations that machines are drained; written by the schedulers. @public */
export const VACATED_PREFIX = 'vacated/'
/**
 * Key of the confirmation that a machine is drained. It names the service that was asked, because a service that had the machine before may learn late
 * that the machine has left it.
 *
 * @public
 */
export const vacatedKey = (service: string, machineId: string): string => `${VACATED_PREFIX}${service}/${machineId}`
/** Prefix of the last listed workers of all pools. @public */
export const SIGHTINGS_PREFIX = 'sightings/'
/** Key of the worker that each machine of a pool had when last listed; written by the holder of the machine duty. @public */
export const sightingsKey = (pool: string): string => `${SIGHTINGS_PREFIX}${pool}`
/** Prefix of the duties; each key holds the name of the host that holds the duty. @public */
export const DUTY_PREFIX = 'duty/'
/** Key of the duty to schedule a service. @public */
export const serviceDutyKey = (service: string): string => `duty/service/${service}`
/** Prefix of the backlogs of services. It lies below {@link DUTY_PREFIX}, so that the watch of the duties, which each host has, brings them. @public */
export const BACKLOG_PREFIX = 'duty/backlog/'
/** Key of the backlog of a service; written by its scheduler while new jobs have to wait long. @public */
export const backlogKey = (service: string): string => `${BACKLOG_PREFIX}${service}`
/** Prefix of the memory that the jobs of services take; below {@link DUTY_PREFIX} for the same reason. */
export const JOB_MEMORY_PREFIX = 'duty/memory/'
/** Key of the memory that the jobs of a service take; written by its scheduler while it matters. @public */
export const jobMemoryKey = (service: string): string => `${JOB_MEMORY_PREFIX}${service}`
/** Key of the machine duty: ordering maintenance and moves of machines. @public */
export const MACHINE_DUTY_KEY = 'duty/machines'

/** The subject of a key in an inbox. @public */
export type InboxSubject =
  | { readonly kind: 'job' | 'cancel', readonly jobId: JobId }
  | { readonly kind: 'vacate', readonly machineId: string }
  | { readonly kind: 'gone', readonly workerId: WorkerId }

/**
 * Parses a key of an inbox.
 *
 * @param key - the key
 * @param prefix - the prefix of the inbox
 * @returns the subject of the key
 * @public
 */
export function parseInboxKey (key: string, prefix: string): InboxSubject {
  const [first = '', second] = key.slice(prefix.length).split('/')
  if (first === 'vacate') return { kind: 'vacate', machineId: second ?? '' }
  if (first === 'gone') return { kind: 'gone', workerId: (second ?? '') as WorkerId }
  return { kind: second === 'cancel' ? 'cancel' : 'job', jobId: first as JobId }
}

/** Prefix of the hosts' capacities; each host writes its own when it starts. @public */
export const HOSTS_PREFIX = 'hosts/'
/** Key of the capacity of a host. @public */
export const hostKey = (hostName: string): string => `${HOSTS_PREFIX}${hostName}`
