/**
 * Ids, declarations, selectors and the closed list of error kinds.
 *
 * @module
 */
export {
  createAvailabilityZone, createEntryHostId, createHostId, createPoolName, createServiceName,
  isAvailabilityZone, isEntryHostId, isHostId, isPoolName, isServiceName,
  type AvailabilityZone, type Branded, type EntryHostId, type HostId, type PoolName, type ServiceName
} from './lib/ids.js'
export { labelSelectorSchema, labelsSchema, matchesSelector, type LabelSelector, type Labels } from './lib/LabelSelector.js'
export {
  DECLARATION_KINDS, DECLARATION_MIGRATIONS, DECLARATION_SCHEMA_VERSION, SPEC_SCHEMAS, fieldProblems, parseDeclaration,
  hostSpecSchema, maintenanceSpecSchema, poolSpecSchema, serviceSpecSchema, teamSpecSchema,
  type AvailabilityBudget, type Declaration, type DeclarationKind, type FieldProblem, type HostSpec, type MaintenanceSpec,
  type MaintenanceWindow, type PoolSpec, type RequestClass, type ServiceSpec, type SpecByKind, type TeamSpec
} from './lib/declarations.js'
export { SelectorIndex } from './lib/SelectorIndex.js'
export { ERROR_ANSWERS, QuillscaleError, type ErrorAnswer, type ErrorKind, type Outcome } from './lib/errorKinds.js'
