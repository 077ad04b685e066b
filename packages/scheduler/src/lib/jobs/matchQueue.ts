/**
 * Selects the queue that serves a request by host and path.
 *
 * @module
 */
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'

/** The queue with the longest matching path prefix, and the rest of the path. @public */
export interface QueueMatch {
  readonly queue: QueueConfiguration
  /** The part of the path after the prefix; empty if the path equals the prefix. */
  readonly rest: string
}

/**
 * Finds the queue with the longest path prefix that matches a request.
 *
 * @param configuration - the configuration in force
 * @param host - value of the host header, with or without a port
 * @param path - path of the request, without its query
 * @returns the match; `undefined` if no queue matches
 * @public
 */
export function matchQueue (configuration: FleetConfiguration, host: string, path: string): QueueMatch | undefined {
  const [name = ''] = host.toLowerCase().split(':')
  let longestMatch: QueueConfiguration | undefined
  for (const queue of configuration.queues) {
    if (queue.host.toLowerCase() !== name || !path.startsWith(queue.pathPrefix)) continue
    if (longestMatch === undefined || queue.pathPrefix.length > longestMatch.pathPrefix.length) longestMatch = queue
  }
  return longestMatch === undefined ? undefined : { queue: longestMatch, rest: path.slice(longestMatch.pathPrefix.length) }
}
