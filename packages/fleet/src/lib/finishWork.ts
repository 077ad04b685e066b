/**
 * Changes a zone's document when work on a host ends.
 *
 * @module
 */
import type { HostId } from '@quillscale/model'
import type { HostWork, ZoneHost, ZoneHostsDocument } from './fleetDocuments.js'
import { waveName } from './planMaintenance.js'

const HOST_TIME_SMOOTHING = 0.2

/** Results of a wave in one zone. */
type ZoneWave = ZoneHostsDocument['waves'][string]

/**
 * Puts one host into a zone's document.
 *
 * @param document - the zone's hosts
 * @param hostId - which host
 * @param host - as it is now
 * @returns the changed copy
 * @public
 */
export function withHost (document: ZoneHostsDocument, hostId: HostId, host: ZoneHost): ZoneHostsDocument {
  return { ...document, hosts: { ...document.hosts, [hostId]: host } }
}

/**
 * Ends completed work: the host takes its new pool, the wave counts it, and the usual time is learned.
 *
 * @param document - the zone's hosts
 * @param hostId - which host
 * @param host - as it was
 * @param work - what was completed
 * @param nowMs - the present time since 1970
 * @returns the changed copy
 * @public
 */
export function finishWork (document: ZoneHostsDocument, hostId: HostId, host: ZoneHost, work: HostWork, nowMs: number): ZoneHostsDocument {
  const isMoved = work.moveTo !== undefined && work.moveTo !== host.pool
  const next = withHost(document, hostId, { pool: isMoved ? work.moveTo ?? null : host.pool })
  const moved = isMoved ? { ...next, movesDone: document.movesDone + 1 } : next
  if (work.maintenance === undefined) return moved
  const tookMs = nowMs - work.startedMs
  const hostTimeMs = document.hostTimeMs === undefined ? tookMs : document.hostTimeMs + HOST_TIME_SMOOTHING * (tookMs - document.hostTimeMs)
  return { ...withWave(moved, work, (results) => ({ ...results, done: results.done + 1 })), hostTimeMs }
}

/**
 * Ends work that failed: the host waits for a person, and a maintenance counts its failure domain.
 *
 * @param document - the zone's hosts
 * @param hostId - which host
 * @param host - as it was, with what is being done to it
 * @param rack - its failure domain
 * @param nowMs - the present time since 1970
 * @returns the changed copy
 * @public
 */
export function failWork (
  document: ZoneHostsDocument, hostId: HostId, host: ZoneHost & { readonly work: HostWork }, rack: string, nowMs: number
): ZoneHostsDocument {
  const { work } = host
  if (work.maintenance === undefined) return withHost(document, hostId, { pool: host.pool, work: { ...work, phase: 'failed' } })
  const failed = withHost(document, hostId, { pool: host.pool, work: { ...work, phase: 'failed', sinceMs: nowMs } })
  return withWave(failed, work, (results) => ({ ...results, failedRacks: [...results.failedRacks, rack] }))
}

/** Changes the results of the wave that work belongs to. */
function withWave (document: ZoneHostsDocument, { maintenance = '', wantedVersion = '' }: HostWork, change: (results: ZoneWave) => ZoneWave): ZoneHostsDocument {
  const wave = waveName(maintenance, wantedVersion)
  return { ...document, waves: { ...document.waves, [wave]: change(document.waves[wave] ?? { done: 0, failedRacks: [] }) } }
}
