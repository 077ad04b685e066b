/**
 * Request path decisions of an entry host: admission, slot sharing, target selection, retries and request metrics.
 *
 * @module
 */
export { AdmissionQueue, ADMISSION_DEFAULTS, type AdmissionOptions, type AdmissionRequest, type RefusalReason, type QueuedRequest } from './lib/AdmissionQueue.js'
export { CallerConnection } from './lib/CallerConnection.js'
export { chooseTarget, TARGET_CHOICE_DEFAULTS, type TargetChoiceOptions } from './lib/chooseTarget.js'
export { DemandEstimator, DEMAND_DEFAULTS, type DemandOptions } from './lib/DemandEstimator.js'
export { RequestMetrics, type RequestPhase, type RequestSample, type SeriesLabels, type SeriesSummary } from './lib/RequestMetrics.js'
export { RetryBudget, RETRY_BUDGET_DEFAULTS, type RetryBudgetOptions } from './lib/RetryBudget.js'
export { ServiceRouter, findRequestClass, type HeldSlot, type ServiceRouterOptions, type SlotRequest } from './lib/ServiceRouter.js'
export { computeSlotShare } from './lib/computeSlotShare.js'
export { TargetState, TARGET_HEALTH_DEFAULTS, type TargetAddress, type TargetHealthOptions, type TargetResult } from './lib/TargetState.js'
