/**
 * Decisions about hosts: pools, availability budgets, maintenance waves, buffers.
 *
 * @module
 */
export { advanceWork, type WorkFacts, type WorkStep } from './lib/advanceWork.js'
export { assignPools, type AssignableHost } from './lib/assignPools.js'
export {
  REPORT_STALE_MS, allowedCount, budgetLeft, countUnavailable, grantPermits, returnPermits, zonePartOfBudget, type PermitRequest, type Unavailability
} from './lib/availabilityBudget.js'
export { claimPool, orderClaims, type ClaimedPool, type PoolClaim } from './lib/claimPool.js'
export {
  EMPTY_LEDGER, EMPTY_ZONE_HOSTS, ledgerSchema, zoneHostsSchema, zoneReportSchema,
  type HostWork, type Ledger, type Permit, type ZoneHost, type ZoneHostsDocument, type ZoneReport
} from './lib/fleetDocuments.js'
export { failWork, finishWork, withHost } from './lib/finishWork.js'
export { hostLabels } from './lib/hostLabels.js'
export { windowOpenUntilMs } from './lib/maintenanceWindow.js'
export { BUFFER_DEFAULTS, planBuffer, type BufferOptions, type BufferPlan, type BufferPromise, type BufferedService, type HeldSlots } from './lib/planBuffer.js'
export {
  dueMaintenance, planMaintenance, waveName, waveWidth,
  type DeclaredMaintenance, type MaintainableHost, type MaintenanceContext, type PlannedMaintenance, type WaveResults
} from './lib/planMaintenance.js'
