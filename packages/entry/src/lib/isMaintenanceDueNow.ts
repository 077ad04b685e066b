/**
 * Tells whether a host is about to be maintained: it is then moved by that, not before.
 *
 * @module
 */
import { dueMaintenance, windowOpenUntilMs, type DeclaredMaintenance, type MaintainableHost } from '@quillscale/fleet'

/**
 * Looks for a maintenance that may begin now.
 *
 * @param host - what it is chosen by
 * @param maintenances - all that are declared
 * @param wallMs - the present time of day
 * @returns whether one is due, not paused, and in its window
 * @internal
 */
export function isMaintenanceDueNow (
  host: Pick<MaintainableHost, 'labels' | 'version'>, maintenances: readonly DeclaredMaintenance[], wallMs: number
): boolean {
  const due = dueMaintenance(host, maintenances)
  return due !== undefined && !due.spec.paused && windowOpenUntilMs(due.spec.windows, wallMs) !== undefined
}
