/**
 * The operators' command, for tests.
 *
 * @module
 */
export { OperatorClient, OperatorRefusal, NoAnswer, type OperatorClientOptions } from './lib/OperatorClient.js'
export { readDeclarations, type FileProblem, type FoundDeclaration } from './lib/readDeclarations.js'
export { formatTable, type OutputFormat, type Row } from './lib/printTable.js'
export { EXIT_CODE } from './lib/exitCodes.js'
