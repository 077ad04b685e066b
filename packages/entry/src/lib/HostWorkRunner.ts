/**
 * Carries on the work that was begun on hosts of this zone (moves and maintenance) until each host serves again: drains,
 * reboots, checks, and gives up or takes back what cannot be done. Every order is fenced and written before it is given.
 *
 * @module
 */
import type Logger from 'bunyan'
import type { Clock } from '@quillscale/utils'
import type { HostId } from '@quillscale/model'
import type { HostControl, ListedHost } from '@quillscale/ports'
import { advanceWork, failWork, finishWork, withHost, type HostWork, type WorkFacts, type WorkStep } from '@quillscale/fleet'
import type { DrainConfirmation, DrainState } from './DrainConfirmation.js'
import type { PermitDesk } from './PermitDesk.js'
import { probeTarget } from './probeTarget.js'
import { assignableHosts, wantedPools, type PoolSources } from './wantedPools.js'
import type { ZoneHosts } from './ZoneHosts.js'

/** What it works on. @internal */
export interface HostWorkRunnerOptions extends PoolSources {
  readonly hosts: ZoneHosts
  readonly permits: PermitDesk
  readonly hostControl: HostControl
  readonly drains: DrainConfirmation
  readonly clock: Clock
  readonly log: Logger
}

const DEFAULT_DRAIN_TIMEOUT_MS = 60_000
const DEFAULT_REBOOT_TIMEOUT_MS = 600_000

/** Carries work on hosts on. @internal */
export class HostWorkRunner {
  readonly #options: HostWorkRunnerOptions
  readonly #reasons = new Map<HostId, string>()

  /** @param options - what it works on */
  constructor (options: HostWorkRunnerOptions) {
    this.#options = options
  }

  /** @param hostId - a host @returns what its work waits for, as last decided here */
  reasonOf (hostId: HostId): string | undefined {
    return this.#reasons.get(hostId)
  }

  /** Takes each host that is worked on one step further, if it may. */
  async advance (): Promise<void> {
    const { clock, drains, hosts } = this.#options
    const { document, working } = hosts
    for (const hostId of this.#reasons.keys()) if (document.hosts[hostId]?.work === undefined) this.#reasons.delete(hostId)
    const draining = working.filter(({ work }) => work.phase === 'draining').map(({ hostId }) => hostId)
    const drained = draining.length === 0 ? new Map<HostId, DrainState>() : await drains.ask(draining, document.revision)
    for (const { hostId, work } of working) {
      const facts = await this.#factsOf(hostId, work, drained.get(hostId))
      await this.#act(hostId, work, this.#isMoveWithdrawn(hostId, work) ? { do: 'undo', why: 'the move is no longer wanted' } : advanceWork(work, facts, clock.wallMs()))
    }
  }

  async #factsOf (hostId: HostId, work: HostWork, drain: DrainState | undefined): Promise<WorkFacts> {
    const { hostList, replica } = this.#options
    const listed = hostList.hosts.get(hostId)
    const spec = work.maintenance === undefined ? undefined : replica.declarations('maintenance').get(work.maintenance)?.spec
    const mustAnswer = work.phase === 'verifying' || work.phase === 'failed'
    return {
      listedState: listed?.state === 'leaving' && work.phase !== 'rebooting' ? 'live' : listed?.state ?? 'missing',
      version: listed?.version ?? '',
      isDrained: drain?.isDrained ?? false,
      unconfirmed: drain?.unconfirmed ?? [],
      isAnswering: mustAnswer && listed !== undefined && await this.#isAnswering(listed),
      drainTimeoutMs: spec?.drainTimeoutMs ?? DEFAULT_DRAIN_TIMEOUT_MS,
      rebootTimeoutMs: spec?.rebootTimeoutMs ?? DEFAULT_REBOOT_TIMEOUT_MS,
      isOverBudget: this.#options.registry.servicesOn(hostId).some((service) => this.#options.permits.left(service) < 0)
    }
  }

  /** A move that has not released its host yet costs nothing to take back. */
  #isMoveWithdrawn (hostId: HostId, work: HostWork): boolean {
    if (work.phase !== 'draining' || work.moveTo === undefined || work.wantedVersion !== undefined) return false
    const { replica, clock, hosts } = this.#options
    const wanted = wantedPools(assignableHosts(this.#options, clock.wallMs()), replica).get(hostId)
    return wanted !== undefined && wanted === (hosts.document.hosts[hostId]?.pool ?? null)
  }

  async #isAnswering (host: ListedHost): Promise<boolean> {
    const { registry } = this.#options
    const service = registry.servicesOn(host.hostId)[0]
    const spec = service === undefined ? undefined : registry.services.get(service)?.spec
    if (spec === undefined) return true
    try {
      const { isServing } = await probeTarget({ ...host, port: spec.port ?? host.port }, spec.probePath)
      return isServing
    } catch {
      return false
    }
  }

  async #act (hostId: HostId, work: HostWork, step: WorkStep): Promise<void> {
    const { log } = this.#options
    if ('why' in step) this.#reasons.set(hostId, step.why)
    const acts: Record<WorkStep['do'], () => Promise<unknown>> = {
      wait: () => this.#reorder(hostId, work),
      undo: async () => await this.order('undrain', hostId) && await this.#endWork(hostId, undefined),
      reboot: async () => await this.#setPhase(hostId, 'rebooting') && await this.order('reboot', hostId, work.wantedVersion),
      'change-pool': () => this.#setPhase(hostId, 'verifying'),
      'await-return': () => this.#setPhase(hostId, 'verifying'),
      trust: async () => await this.order('undrain', hostId) && await this.#endWork(hostId, work),
      'give-up': () => this.#giveUp(hostId)
    }
    if (step.do !== 'wait') log.info({ host: hostId, step: step.do, why: 'why' in step ? step.why : undefined, maintenance: work.maintenance }, 'host work')
    await acts[step.do]()
  }

  /** An order whose answer was lost is given again; the platform takes a repeated one for done. */
  async #reorder (hostId: HostId, work: HostWork): Promise<void> {
    const state = this.#options.hostList.hosts.get(hostId)?.state
    if (work.phase === 'draining' && state === 'live') await this.order('drain', hostId)
    if (work.phase === 'rebooting' && state !== 'gone') await this.order('reboot', hostId, work.wantedVersion)
  }

  /**
   * Orders something of the platform.
   *
   * @param kind - what
   * @param hostId - for which host
   * @param version - that a reboot brings
   * @returns whether the platform accepted it
   */
  async order (kind: 'drain' | 'undrain' | 'reboot', hostId: HostId, version = ''): Promise<boolean> {
    const fencingToken = this.#options.hosts.token
    if (fencingToken === undefined) return false
    const { hostControl, log } = this.#options
    const order = { hostId, fencingToken }
    const outcome = kind === 'reboot' ? await hostControl.reboot({ ...order, version }) : await hostControl[kind](order)
    if (outcome.err || outcome.val !== 'accepted') log.warn({ host: hostId, order: kind, outcome: outcome.val }, 'order not accepted')
    return outcome.ok && outcome.val === 'accepted'
  }

  #setPhase (hostId: HostId, phase: HostWork['phase']): Promise<boolean> {
    return this.#options.hosts.change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined || host.work.phase === phase) return undefined
      const work = { ...host.work, phase, sinceMs: this.#options.clock.wallMs() }
      return { ...document, hosts: { ...document.hosts, [hostId]: { ...host, work } } }
    })
  }

  /** Ends the work; `finished` is what was completed, `undefined` when it was undone. */
  async #endWork (hostId: HostId, finished: HostWork | undefined): Promise<void> {
    const { signals, clock } = this.#options
    const services = this.#options.registry.servicesOn(hostId)
    const isEnded = await this.#options.hosts.change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined) return undefined
      return finished === undefined ? withHost(document, hostId, { pool: host.pool }) : finishWork(document, hostId, host, finished, clock.wallMs())
    })
    if (!isEnded) return
    signals.notice(hostId, 'up', clock.monotonicMs())
    for (const service of services) await this.#options.permits.giveBack(service, [hostId])
  }

  async #giveUp (hostId: HostId): Promise<void> {
    const { hostList, hosts, clock } = this.#options
    const rack = hostList.hosts.get(hostId)?.rack ?? ''
    await hosts.change((document) => {
      const host = document.hosts[hostId]
      if (host?.work === undefined || host.work.phase === 'failed') return undefined
      return failWork(document, hostId, { ...host, work: host.work }, rack, clock.wallMs())
    })
  }
}
