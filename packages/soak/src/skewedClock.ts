/**
 * Loaded before the program: its time of day is off by a given amount, and jumps when a signal comes; after another signal its steady clock
 * leaves out the pause that follows, as on a host that is suspended.
 *
 * @module
 */
const STEP_MS = 2000
/** The steady clock is read at least this often while the process runs. */
const SAMPLE_INTERVAL_MS = 5
/** A longer time without a reading is the announced pause; the program never takes so long between two. */
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
