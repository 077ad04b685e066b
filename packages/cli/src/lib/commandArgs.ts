/**
 * Arguments that several commands take.
 *
 * @module
 */
import { array, multioption, oneOf, option, optional, string } from 'cmd-ts'
import { OperatorClient } from './OperatorClient.js'

const DEFAULT_ENDPOINT = 'http://127.0.0.1:7401'

/** How to reach entry hosts and print results. @public */
export const commonArgs = {
  endpoint: multioption({
    type: array(string),
    long: 'endpoint',
    description: `operators' interface of an entry host; repeat it to name several (default: QUILLSCALE_ENDPOINTS, separated by commas, or ${DEFAULT_ENDPOINT})`
  }),
  keyFile: option({ type: optional(string), long: 'key-file', description: 'file with an operators’ key (default: the variable QUILLSCALE_KEY)' }),
  caFile: option({ type: optional(string), long: 'ca-file', description: 'PEM file of the authority of the entry hosts’ certificates' }),
  output: option({ type: oneOf(['table', 'json'] as const), long: 'output', short: 'o', defaultValue: () => 'table' as const, description: 'table or json' })
}

/** The values of {@link commonArgs}. @public */
export interface CommonArgs {
  readonly endpoint: readonly string[]
  readonly keyFile: string | undefined
  readonly caFile: string | undefined
}

/**
 * Makes the client that the arguments describe.
 *
 * @param args - as given
 * @param readFile - reads the key file
 * @returns the client
 * @public
 */
export function createClient (args: CommonArgs, readFile: (path: string) => string): OperatorClient {
  const fromVariable = process.env.QUILLSCALE_ENDPOINTS?.split(',').filter((endpoint) => endpoint !== '') ?? []
  const endpoints = args.endpoint.length > 0 ? args.endpoint : fromVariable.length > 0 ? fromVariable : [DEFAULT_ENDPOINT]
  const key = args.keyFile === undefined ? process.env.QUILLSCALE_KEY ?? '' : readFile(args.keyFile).trim()
  return new OperatorClient({ endpoints, key, caFile: args.caFile })
}
