/**
 * Replaces the clocks of a process; loaded before the program. The wall clock is offset by a given amount and steps on SIGUSR2. After SIGURG the
 * monotonic clock leaves out the next pause of the process, as on a suspended host.
 *
 * @module
 */
const STEP_MS = 2000
/** Interval at which the monotonic clock is read while the process runs. */
const SAMPLE_INTERVAL_MS = 5
/** A gap between two readings of at least this length is the announced pause; the running program never leaves such a gap. */
const MIN_PAUSE_MS = 150

const realNow = Date.now.bind(Date)
const realMonotonicMs = performance.now.bind(performance)
const offsetMs = Number(process.env.SOAK_CLOCK_OFFSET_MS ?? 0)
let steppedMs = 0
let isPauseAnnounced = false
let lastMonotonicMs = realMonotonicMs()
let suspendedMs = 0

Date.now = () => realNow() + offsetMs + steppedMs
performance.now = () => {
  const nowMs = realMonotonicMs()
  const passedMs = nowMs - lastMonotonicMs
  lastMonotonicMs = nowMs
  if (isPauseAnnounced && passedMs >= MIN_PAUSE_MS) {
    suspendedMs += passedMs
    isPauseAnnounced = false
  }
  return nowMs - suspendedMs
}
setInterval(() => performance.now(), SAMPLE_INTERVAL_MS).unref()
process.on('SIGUSR2', () => { steppedMs = steppedMs === 0 ? STEP_MS : 0 })
process.on('SIGURG', () => { isPauseAnnounced = true })
