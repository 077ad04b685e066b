/**
 * Tells when maintenance may start.
 *
 * @module
 */
import type { MaintenanceWindow } from '@quillscale/model'

const DAYS = ['sun', 'mon', 'tue', 'wed', 'thu', 'fri', 'sat'] as const
const MINUTE_MS = 60_000
const DAY_MS = 24 * 60 * MINUTE_MS

/**
 * Finds out until when a window is open.
 *
 * @param windows - the declared ones; none means always
 * @param nowMs - the present time since 1970
 * @returns the end of the window that ends last of those that are open, `undefined` when none is
 * @public
 */
export function windowOpenUntilMs (windows: readonly MaintenanceWindow[], nowMs: number): number | undefined {
  if (windows.length === 0) return Infinity
  const dayStartMs = Math.floor(nowMs / DAY_MS) * DAY_MS
  let untilMs: number | undefined
  for (const window of windows) {
    const [hours = 0, minutes = 0] = window.startTime.split(':').map(Number)
    // A window may have begun on an earlier day.
    const daysBack = Math.ceil(window.durationMs / DAY_MS)
    for (let back = 0; back <= daysBack; back++) {
      const startMs = dayStartMs - back * DAY_MS + (hours * 60 + minutes) * MINUTE_MS
      const day = DAYS[new Date(startMs).getUTCDay()] as typeof DAYS[number]
      const endMs = startMs + window.durationMs
      const isOpen = window.daysOfWeek.includes(day) && startMs <= nowMs && nowMs < endMs
      if (isOpen) untilMs = Math.max(untilMs ?? 0, endMs)
    }
  }
  return untilMs
}
