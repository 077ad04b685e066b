/**
 * Loaded before the program: its time of day is off by a given amount, and jumps when a signal comes.
 *
 * @module
 */
const STEP_MS = 2000

const realNow = Date.now.bind(Date)
const offsetMs = Number(process.env.SOAK_CLOCK_OFFSET_MS ?? 0)
let steppedMs = 0
Date.now = () => realNow() + offsetMs + steppedMs
process.on('SIGUSR2', () => { steppedMs = steppedMs === 0 ? STEP_MS : 0 })
