/**
 * HTTP servers that bound what all clients together can make a process hold.
 *
 * @module
 */
export { ClientConnection, type ClosingReason } from './lib/ClientConnection.js'
export { ClosingLog, type ClosingLogFields } from './lib/ClosingLog.js'
export { CompactBody, type CompactBodyOptions } from './lib/CompactBody.js'
export { collectBody, type BodySource, type CollectedBody } from './lib/collectBody.js'
export { createIngressServer, type IngressServerOptions } from './lib/createIngressServer.js'
export { deriveIngressLimits, type MachineLimits } from './lib/deriveIngressLimits.js'
export { IngressBudget, type ClosedConnection, type IngressBudgetOptions, type IngressLimits } from './lib/IngressBudget.js'
