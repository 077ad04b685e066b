/**
 * Decides on an entry host whether a new job is accepted, by the backlog of its service.
 *
 * @module
 */
import type { QueueConfiguration } from '@quillscale/ports'
import { decideAdmission, type JobSpec } from '@quillscale/policy'
import type { EventLog } from '../duties/EventLog.js'
import type { SchedulerMetrics } from '../duties/SchedulerMetrics.js'
import type { BacklogWatcher } from './BacklogWatcher.js'

/** Dependencies of a {@link JobAdmission}. @public */
export interface JobAdmissionOptions {
  readonly backlogs: Pick<BacklogWatcher, 'backlogOf'>
  readonly log: EventLog
  readonly metrics: SchedulerMetrics
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
}

/** Why a job would be refused. @public */
export interface AdmissionRefusal {
  readonly predictedWaitMs: number
  /** Time since this host learnt of the backlog. */
  readonly backlogAgeMs: number
  /** When the caller may return, in whole seconds. */
  readonly retryAfterMs: number
}

/** Decides about new jobs, and reports the decisions. @public */
export class JobAdmission {
  readonly #options: JobAdmissionOptions

  /** @param options - dependencies */
  constructor (options: JobAdmissionOptions) {
    this.#options = options
  }

  /**
   * Decides about a job.
   *
   * @param spec - the job
   * @param queue - its queue
   * @returns the reasons to refuse it, `undefined` to accept it
   */
  decide (spec: JobSpec, queue: QueueConfiguration): AdmissionRefusal | undefined {
    const { backlogs, metrics, random } = this.#options
    const known = backlogs.backlogOf(queue.service)
    if (known === undefined) return undefined
    const decision = decideAdmission({ spec, queue, backlog: known.backlog, ageMs: known.ageMs, random: random() })
    metrics.record(decision.isAccepted ? 'predicted_wait' : 'predicted_wait_refused', queue.service, decision.predictedWaitMs)
    if (decision.isAccepted) return undefined
    const { predictedWaitMs, retryAfterMs } = decision
    return { predictedWaitMs: Math.round(predictedWaitMs), backlogAgeMs: Math.round(known.ageMs), retryAfterMs }
  }

  /**
   * Logs and counts a job that is refused.
   *
   * @param spec - the job
   * @param service - its service
   * @param refusal - the reasons
   */
  report ({ jobId, queue, owner }: JobSpec, service: string, refusal: AdmissionRefusal): void {
    this.#options.metrics.count('jobs_refused_under_pressure', queue)
    this.#options.log.info({ jobId, queue, service, account: owner?.account, ...refusal }, 'job refused: it would end too late to be of use')
  }
}
