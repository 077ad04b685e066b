/**
 * Repeats an act; one that fails is logged, and repeated all the same.
 *
 * @module
 */
import type Logger from 'bunyan'
import { delay } from '@quillscale/utils'

/**
 * Repeats an act.
 *
 * @param pauseMs - before each time
 * @param signal - ends the repetition
 * @param log - for failures
 * @param act - what to do
 * @internal
 */
export async function runEvery (pauseMs: number, signal: AbortSignal, log: Logger, act: () => unknown): Promise<void> {
  while (await delay(pauseMs, signal)) {
    try {
      await act()
    } catch (error) {
      log.error({ err: error }, 'a task failed')
    }
  }
}
