/**
 * Finds the queue that a request is for.
 *
 * @module
 */
import type { FleetConfiguration, QueueConfiguration } from '@quillscale/ports'

/** The queue with the longest prefix, and what follows it in the path. @public */
export interface QueueMatch {
  readonly queue: QueueConfiguration
  /** Empty when the path is the queue's own. */
  readonly rest: string
}

/**
 * Matches a request.
 *
 * @param configuration - in force
 * @param host - the host header, with or without a port
 * @param path - of the request, without its query
 * @returns the match, `undefined` if there is none
 * @public
 */
export function matchQueue (configuration: FleetConfiguration, host: string, path: string): QueueMatch | undefined {
  const [name = ''] = host.toLowerCase().split(':')
  let best: QueueConfiguration | undefined
  for (const queue of configuration.queues) {
    if (queue.host.toLowerCase() !== name || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best === undefined ? undefined : { queue: best, rest: path.slice(best.pathPrefix.length) }
}
