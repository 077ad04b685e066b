/**
 * Asks a target whether it serves, apart from callers' requests.
 *
 * @module
 */
import { request } from 'undici'
import type { TargetAddress } from '@quillscale/routing'
import { HEADER } from './httpHeaders.js'
import { originOf } from './TargetClient.js'

/** What a target told. @internal */
export interface ProbeAnswer {
  /** Whether it can serve: anything but an error of its own. */
  readonly isServing: boolean
  /** Whether it said that it leaves. */
  readonly isLeaving: boolean
}

const PROBE_TIMEOUT_MS = 1000
const SERVER_ERROR = 500

/**
 * Asks a target.
 *
 * @param target - where it is
 * @param probePath - the path that its service declares for this
 * @returns what it told
 * @throws Error when no answer came in time
 * @internal
 */
export async function probeTarget (target: TargetAddress, probePath: string): Promise<ProbeAnswer> {
  const answer = await request(originOf(target) + probePath, { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS), headersTimeout: PROBE_TIMEOUT_MS })
  await answer.body.dump()
  return { isServing: answer.statusCode < SERVER_ERROR, isLeaving: answer.headers[HEADER.leaving] === 'true' }
}
