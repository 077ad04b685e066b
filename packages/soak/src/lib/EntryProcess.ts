/**
 * An entry host of the soak: runs the real program as a child process and restarts it whenever it exits.
 *
 * @module
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { encodeSettings, type HostSettings } from '@quillscale/platform-fleet'
import type { ProcessEnd } from './History.js'

const PROGRAM_PATH = fileURLToPath(new URL('../../../../platform/dist/main.js', import.meta.url))
const SKEWED_CLOCK_URL = new URL('../skewedClock.js', import.meta.url).href
/** Delay before an exited process is restarted, as a supervisor would restart it. */
const RESTART_MS = 200
/** Time that a planned stop may take, equal to `GraceS` of the settings; after it the process is killed. */
const STOP_TIMEOUT_MS = 5000

/** Lead time between the announcement of a suspension and the pause, so that the clock replacement in the process can handle the signal. */
const SUSPEND_NOTICE_MS = 30

/** Runs, stops, pauses and restarts the process of one entry host, and records each exit. @public */
export class EntryProcess {
  readonly hostSettings: HostSettings
  readonly ends: ProcessEnd[] = []
  /** Start of the planned stop in progress, on the monotonic clock. */
  stoppingSinceMs: number | undefined
  /** Time of the last disturbance other than a planned stop; `Infinity` while the link to the store is disturbed. */
  lastDisturbedMs = -Infinity
  isFrozen = false
  /** Whether its wall clock has ever stepped. */
  hasSteppedClock = false
  readonly #directory: string
  readonly #nowMs: () => number
  readonly #clockOffsetMs: number
  #child: ChildProcess | undefined
  #sentSignal: ProcessEnd['signal'] = ''
  #shouldRestart = true
  /** Whether the process has written any output; before that it has not yet installed its signal handlers. */
  #hasOutput = false

  /**
   * @param hostSettings - the host's name, address and ports
   * @param directory - directory for its settings file and its log
   * @param nowMs - reads the monotonic clock
   * @param clockOffsetMs - offset of its wall clock
   */
  constructor (hostSettings: HostSettings, directory: string, nowMs: () => number, clockOffsetMs: number) {
    this.hostSettings = hostSettings
    this.#directory = directory
    this.#nowMs = nowMs
    this.#clockOffsetMs = clockOffsetMs
    writeFileSync(this.#settingsFile, encodeSettings(hostSettings))
  }

  get #settingsFile (): string {
    return join(this.#directory, `${this.hostSettings.hostName}.json`)
  }

  /** Starts the process. */
  start (): void {
    this.#sentSignal = ''
    this.stoppingSinceMs = undefined
    this.isFrozen = false
    const log = createWriteStream(join(this.#directory, `${this.hostSettings.hostName}.log`), { flags: 'a' })
    const child = spawn(process.execPath, ['--import', SKEWED_CLOCK_URL, PROGRAM_PATH, 'serve', '--settings', this.#settingsFile], {
      stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, SOAK_CLOCK_OFFSET_MS: String(this.#clockOffsetMs) }
    })
    this.#child = child
    this.#hasOutput = false
    child.stdout.once('data', () => { this.#hasOutput = true })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    child.once('exit', (exitCode) => {
      log.end()
      this.#handleExit(exitCode)
    })
  }

  #handleExit (exitCode: number | null): void {
    this.#child = undefined
    if (this.#sentSignal !== 'SIGTERM') this.lastDisturbedMs = this.#nowMs()
    this.ends.push({ hostName: this.hostSettings.hostName, signal: this.#sentSignal, exitCode, atMs: this.#nowMs() })
    if (this.#shouldRestart) setTimeout(() => { if (this.#shouldRestart) this.start() }, RESTART_MS)
  }

  /** Requests a planned stop, and kills the process if it does not exit in time. */
  terminate (): void {
    const child = this.#child
    if (child === undefined || !this.#hasOutput || this.#sentSignal !== '' || this.isFrozen) return
    this.#sentSignal = 'SIGTERM'
    this.stoppingSinceMs = this.#nowMs()
    child.kill('SIGTERM')
    setTimeout(() => { if (child === this.#child) this.kill() }, STOP_TIMEOUT_MS).unref()
  }

  /** Kills the process. */
  kill (): void {
    if (this.#child === undefined) return
    this.#sentSignal = 'SIGKILL'
    this.lastDisturbedMs = this.#nowMs()
    this.#child.kill('SIGKILL')
  }

  /** Pauses the process with SIGSTOP. */
  freeze (): void {
    if (this.#child === undefined) return
    this.isFrozen = true
    this.lastDisturbedMs = this.#nowMs()
    this.#child.kill('SIGSTOP')
  }

  /** Simulates a suspended host: pauses the process, and its monotonic clock does not count the pause. */
  suspend (): void {
    const child = this.#child
    if (child === undefined || !this.#hasOutput || this.isFrozen) return
    this.lastDisturbedMs = this.#nowMs()
    child.kill('SIGURG')
    setTimeout(() => { if (child === this.#child) this.freeze() }, SUSPEND_NOTICE_MS).unref()
  }

  /** Resumes a paused process. */
  thaw (): void {
    if (!this.isFrozen) return
    this.isFrozen = false
    this.lastDisturbedMs = this.#nowMs()
    this.#child?.kill('SIGCONT')
  }

  /** Steps the wall clock of the process, or reverts the previous step. */
  stepClock (): void {
    this.hasSteppedClock = true
    if (this.#hasOutput) this.#child?.kill('SIGUSR2')
  }

  /** Kills the process without a restart. @returns a promise that resolves once it has exited */
  async close (): Promise<void> {
    this.#shouldRestart = false
    const child = this.#child
    if (child === undefined) return
    const gone = new Promise<void>((resolve) => child.once('exit', () => resolve()))
    this.thaw()
    this.kill()
    await gone
  }
}
