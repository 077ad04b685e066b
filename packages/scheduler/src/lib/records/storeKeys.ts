/**
 * The keys under which the scheduler keeps things. A prefix a service: each holder follows only its own.
 *
 * @module
 */
import type { WorkerId } from '@quillscale/ports'
import type { JobId } from '@quillscale/policy'

/** What entry hosts hand to a service's scheduler: accepted jobs, cancels, requests to empty a machine. @public */
export const inboxPrefix = (service: string): string => `inbox/${service}/`
/** An accepted job; written once by the accepting host. @public */
export const jobKey = (service: string, jobId: JobId): string => `inbox/${service}/${jobId}`
/** What is written there; anything else cancels nothing. @public */
export const CANCEL_VALUE = '1'
/** That a job is to be cancelled. @public */
export const cancelKey = (service: string, jobId: JobId): string => `inbox/${service}/${jobId}/cancel`
/** Below which machines that a service is to empty are named. @public */
export const vacatePrefix = (service: string): string => `inbox/${service}/vacate/`
/** That a machine is to be emptied; written by the holder of machine upkeep. @public */
export const vacateKey = (service: string, machineId: string): string => `inbox/${service}/vacate/${machineId}`
/** That a worker's machine is down or gone; written by the holder of machine upkeep, removed by the scheduler. @public */
export const goneKey = (service: string, workerId: WorkerId): string => `inbox/${service}/gone/${workerId}`
/** Below which the timers of a service's silent workers are. @public */
export const leaseTimerPrefix = (service: string): string => `lease-timers/${service}/`
/** Goes when leases of workers that do not answer are over; written by the scheduler under a lease of the store. @public */
export const leaseTimerKey = (service: string, timer: string): string => `${leaseTimerPrefix(service)}${timer}`
/** Which workers with runs do not answer; written by the scheduler alone. @public */
export const silentWorkersKey = (service: string): string => `silent/${service}`
/** Progress of the service's jobs; written by the scheduler alone. @public */
export const progressPrefix = (service: string): string => `progress/${service}/`
/** Progress of a job. @public */
export const progressKey = (service: string, jobId: JobId): string => `progress/${service}/${jobId}`
/** The number of the scheduler's last transaction. @public */
export const chainKey = (service: string): string => `chain/${service}`
/** How many jobs of each queue wait; written by the scheduler. @public */
export const waitingKey = (service: string): string => `waiting/${service}`
/** Which machines are empty and take no work; written by the schedulers. @public */
export const VACATED_PREFIX = 'vacated/'
/** That a machine is empty, for the service that was asked: another that had it before may hear late that it left. @public */
export const vacatedKey = (service: string, machineId: string): string => `${VACATED_PREFIX}${service}/${machineId}`
/** Below which it is kept which worker each machine had when last listed, by pool. @public */
export const SIGHTINGS_PREFIX = 'sightings/'
/** Which worker each machine of a pool had when last listed; written by the holder of machine upkeep. @public */
export const sightingsKey = (pool: string): string => `${SIGHTINGS_PREFIX}${pool}`
/** Who holds which duty. @public */
export const DUTY_PREFIX = 'duty/'
/** The duty of scheduling a service. @public */
export const serviceDutyKey = (service: string): string => `duty/service/${service}`
/** The duty of ordering upkeep and moves of machines. @public */
export const MACHINE_DUTY_KEY = 'duty/machines'

/** What a key of an inbox is about. @public */
export type InboxSubject =
  | { readonly kind: 'job' | 'cancel', readonly jobId: JobId }
  | { readonly kind: 'vacate', readonly machineId: string }
  | { readonly kind: 'gone', readonly workerId: WorkerId }

/** @param key - of the inbox @param prefix - of the inbox @returns what it is about @public */
export function parseInboxKey (key: string, prefix: string): InboxSubject {
  const [first = '', second] = key.slice(prefix.length).split('/')
  if (first === 'vacate') return { kind: 'vacate', machineId: second ?? '' }
  if (first === 'gone') return { kind: 'gone', workerId: (second ?? '') as WorkerId }
  return { kind: second === 'cancel' ? 'cancel' : 'job', jobId: first as JobId }
}
/** How strong each host is; written by each at its start. @public */
export const HOSTS_PREFIX = 'hosts/'
/** How strong a host is. @public */
export const hostKey = (hostName: string): string => `${HOSTS_PREFIX}${hostName}`
