/**
 * Decides which hosts of a zone are maintained next.
 *
 * @module
 */
import { matchesSelector, type HostId, type Labels, type MaintenanceSpec } from '@quillscale/model'
import { windowOpenUntilMs } from './maintenanceWindow.js'

/** A maintenance by its name. @public */
export interface DeclaredMaintenance { readonly name: string, readonly spec: MaintenanceSpec }

/** A host as the decision sees it. @public */
export interface MaintainableHost {
  readonly hostId: HostId
  readonly rack: string
  readonly version: string
  /** With the label `pool`. */
  readonly labels: Labels
  readonly services: readonly string[]
  /** It works, and nothing is being done to it. */
  readonly isIdle: boolean
  /** How long its present work is expected to last. */
  readonly expectedDrainMs: number
}

/** Results of a wave over all zones. @public */
export interface WaveResults {
  readonly done: number
  readonly running: number
  readonly failedRacks: readonly string[]
}

/** What the decision knows besides hosts. @public */
export interface MaintenanceContext {
  readonly maintenances: readonly DeclaredMaintenance[]
  /** Results by `name@version`. */
  readonly results: ReadonlyMap<string, WaveResults>
  /** Whether this zone starts waves: only one does, until the first hosts have succeeded. */
  readonly isCanaryZone: (wave: string) => boolean
  /** How many more hosts each service can spare. */
  readonly left: ReadonlyMap<string, number>
  /** How many hosts of each service are still to be maintained, in all zones if known. */
  readonly remaining: ReadonlyMap<string, number>
  /** Expected time from drain to trust, for fitting into a window. */
  readonly hostTimeMs: number
}

/** A host to start with. @public */
export interface PlannedMaintenance {
  readonly hostId: HostId
  readonly rack: string
  readonly maintenance: string
  readonly wantedVersion: string
  readonly services: readonly string[]
}

interface Candidate { readonly host: MaintainableHost, readonly maintenance: DeclaredMaintenance }

const MIN_FAILURES_TO_STOP = 3
const FAILED_SHARE_TO_STOP = 0.2

/** @param name - of the maintenance @param version - the wanted one @returns the name of the wave @public */
export function waveName (name: string, version: string): string {
  return `${name}@${version}`
}

/**
 * Tells how many hosts of a wave may be under way at once: the canaries alone, then a multiple of the successes, and none
 * when too large a share failed.
 *
 * @param spec - how many go first, and how fast the wave widens
 * @param results - of the wave
 * @returns a number of hosts
 * @public
 */
export function waveWidth ({ canaryHosts, wideningFactor }: Pick<MaintenanceSpec, 'canaryHosts' | 'wideningFactor'>, results: WaveResults): number {
  const failed = results.failedRacks.length
  const isBroken = failed >= MIN_FAILURES_TO_STOP && failed > FAILED_SHARE_TO_STOP * (results.done + failed)
  if (isBroken) return 0
  if (results.done < canaryHosts) return canaryHosts + failed
  return results.done * wideningFactor
}

/**
 * Finds the maintenance that a host needs.
 *
 * @param host - the host
 * @param maintenances - all declared, in order of name
 * @returns the first that selects it and wants another version
 * @public
 */
export function dueMaintenance (host: Pick<MaintainableHost, 'labels' | 'version'>, maintenances: readonly DeclaredMaintenance[]): DeclaredMaintenance | undefined {
  return maintenances.find(({ spec }) => spec.wantedVersion !== host.version && matchesSelector(spec.selector, host.labels))
}

function isRackStopped (rack: string, spec: MaintenanceSpec, results: WaveResults): boolean {
  return results.failedRacks.filter((failed) => failed === rack).length >= spec.maxFailuresPerDomain
}

/**
 * Orders hosts so that the whole wave ends early: first those of the service that needs most rounds of its budget, then
 * those whose drain takes longest, so that long drains run beside short ones.
 */
function byUrgency (candidates: Candidate[], context: MaintenanceContext): Candidate[] {
  const rounds = (host: MaintainableHost): number => Math.max(0, ...host.services.map((service) =>
    (context.remaining.get(service) ?? 0) / Math.max(1, context.left.get(service) ?? 1)))
  // Ranked once each: comparing by computing took most of the decision's time at 1,900 hosts a zone.
  const ranked = candidates.map((candidate) => ({ candidate, rounds: rounds(candidate.host) }))
  ranked.sort((a, b) => b.rounds - a.rounds || b.candidate.host.expectedDrainMs - a.candidate.host.expectedDrainMs ||
    (a.candidate.host.hostId < b.candidate.host.hostId ? -1 : 1))
  return ranked.map(({ candidate }) => candidate)
}

/**
 * Decides which hosts to start with now. Whether each gets a permit is decided by its services' ledgers.
 *
 * @param hosts - of this zone
 * @param context - what else is known
 * @param nowMs - the present time since 1970
 * @returns hosts, the most urgent first, no more than the services can spare and the wave may have under way
 * @public
 */
export function planMaintenance (hosts: readonly MaintainableHost[], context: MaintenanceContext, nowMs: number): PlannedMaintenance[] {
  const left = new Map(context.left)
  const width = new Map<string, number>()
  const planned: PlannedMaintenance[] = []
  const mayBeSpared = (host: MaintainableHost): boolean => host.services.every((service) => (left.get(service) ?? 0) >= 1)
  // Most services have nothing to spare at most times: their hosts are left out before anything is compared.
  const due = hosts.filter((host) => host.isIdle && mayBeSpared(host)).flatMap((host): Candidate[] => {
    const maintenance = dueMaintenance(host, context.maintenances)
    return maintenance === undefined ? [] : [{ host, maintenance }]
  })
  for (const { host, maintenance: { name, spec } } of byUrgency(due, context)) {
    const wave = waveName(name, spec.wantedVersion)
    const results = context.results.get(wave) ?? { done: 0, running: 0, failedRacks: [] }
    if (!mayStart(spec, results, wave, context, nowMs) || isRackStopped(host.rack, spec, results)) continue
    const free = width.get(wave) ?? waveWidth(spec, results) - results.running
    if (free < 1 || !mayBeSpared(host)) continue
    width.set(wave, free - 1)
    for (const service of host.services) left.set(service, (left.get(service) ?? 0) - 1)
    planned.push({ hostId: host.hostId, rack: host.rack, maintenance: name, wantedVersion: spec.wantedVersion, services: host.services })
  }
  return planned
}

function mayStart (spec: MaintenanceSpec, results: WaveResults, wave: string, context: MaintenanceContext, nowMs: number): boolean {
  if (spec.paused) return false
  const untilMs = windowOpenUntilMs(spec.windows, nowMs)
  if (untilMs === undefined || nowMs + context.hostTimeMs > untilMs) return false
  return results.done >= spec.canaryHosts || context.isCanaryZone(wave)
}
