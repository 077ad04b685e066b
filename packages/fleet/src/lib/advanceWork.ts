/**
 * Decides the next step of a host that is being worked on.
 *
 * @module
 */
import type { HostWork } from './fleetDocuments.js'

/** What is known of the host. @public */
export interface WorkFacts {
  /** The platform's list. */
  readonly listedState: 'live' | 'leaving' | 'gone' | 'missing'
  readonly version: string
  /** Every entry host that could send to it has stopped and has nothing in flight there. */
  readonly isDrained: boolean
  /** Entry hosts that have not confirmed and may still send. */
  readonly unconfirmed: readonly string[]
  /** Its targets answer. */
  readonly isAnswering: boolean
  readonly drainTimeoutMs: number
  readonly rebootTimeoutMs: number
  /** A service on it is over its budget because of failures. */
  readonly isOverBudget: boolean
}

/** What to do. @public */
export type WorkStep =
  | { readonly do: 'wait', readonly why: string }
  | { readonly do: 'undo', readonly why: string }
  | { readonly do: 'reboot' }
  | { readonly do: 'change-pool' }
  | { readonly do: 'await-return' }
  | { readonly do: 'trust' }
  | { readonly do: 'give-up', readonly why: string }

type Handler = (work: HostWork, facts: WorkFacts, nowMs: number) => WorkStep

const wait = (why: string): WorkStep => ({ do: 'wait', why })

function advanceDrain (work: HostWork, facts: WorkFacts, nowMs: number): WorkStep {
  if (facts.isOverBudget) return { do: 'undo', why: 'failures have used the budget up' }
  const isReboot = work.wantedVersion !== undefined
  if (facts.isDrained) return isReboot ? { do: 'reboot' } : { do: 'change-pool' }
  const isLate = nowMs - work.sinceMs > facts.drainTimeoutMs
  if (!isLate) return wait(facts.unconfirmed.length > 0 ? `for ${facts.unconfirmed.join(', ')} to stop sending` : 'for requests in flight')
  // A move must not have the host in two pools, so it waits for those it cannot reach; a reboot is announced by the host itself.
  if (!isReboot && facts.unconfirmed.length > 0) return wait(`the move waits: ${facts.unconfirmed.join(', ')} cannot be reached`)
  return isReboot ? { do: 'undo', why: `not drained within ${facts.drainTimeoutMs} ms` } : wait('for requests in flight')
}

function advanceReboot (work: HostWork, facts: WorkFacts, nowMs: number): WorkStep {
  const isBack = facts.listedState === 'live' && facts.version === work.wantedVersion
  if (isBack) return { do: 'await-return' }
  if (nowMs - work.sinceMs > facts.rebootTimeoutMs) return { do: 'give-up', why: `not back within ${facts.rebootTimeoutMs} ms` }
  return wait('for the host to come back')
}

function advanceVerify (work: HostWork, facts: WorkFacts, nowMs: number): WorkStep {
  if (facts.listedState === 'live' && facts.isAnswering) return { do: 'trust' }
  if (nowMs - work.sinceMs > facts.rebootTimeoutMs) return { do: 'give-up', why: 'its targets do not answer' }
  return wait('for its targets to answer')
}

/** A host that was given up is trusted again once it shows the wanted version and answers. */
function advanceFailed (work: HostWork, facts: WorkFacts): WorkStep {
  const isBack = facts.listedState === 'live' && facts.isAnswering && (work.wantedVersion === undefined || facts.version === work.wantedVersion)
  return isBack ? { do: 'trust' } : wait('for a person to look at it')
}

const HANDLERS: Record<HostWork['phase'], Handler> = {
  draining: advanceDrain, rebooting: advanceReboot, verifying: advanceVerify, failed: advanceFailed
}

/**
 * Decides the next step.
 *
 * @param work - what is being done
 * @param facts - what is known
 * @param nowMs - the present time since 1970
 * @returns the step, with a reason where it waits
 * @public
 */
export function advanceWork (work: HostWork, facts: WorkFacts, nowMs: number): WorkStep {
  return HANDLERS[work.phase](work, facts, nowMs)
}
