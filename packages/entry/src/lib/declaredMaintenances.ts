/**
 * Lists the declared maintenances in the order in which hosts are looked at for them.
 *
 * @module
 */
import type { ConfigurationReplica } from '@quillscale/configuration'
import type { DeclaredMaintenance } from '@quillscale/fleet'

/**
 * Lists maintenances.
 *
 * @param replica - the declarations in force
 * @returns all of them in order of name: of several that select a host the first counts
 * @internal
 */
export function declaredMaintenances (replica: ConfigurationReplica): DeclaredMaintenance[] {
  return [...replica.declarations('maintenance').values()].sort((a, b) => a.name < b.name ? -1 : 1)
}
