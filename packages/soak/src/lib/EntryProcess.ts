/**
 * One entry host of the soak: the real program as a process of its own, started again whenever it ends.
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
/** The program starts again after this, as a supervisor would do it. */
const RESTART_MS = 200
/** As long as the settings say that a stop may take; then it is killed. */
const STOP_TIMEOUT_MS = 5000

/** A process is told of a suspension this much ahead, so that its clock knows of it. */
const SUSPEND_NOTICE_MS = 30

/** The host. @public */
export class EntryProcess {
  readonly hostSettings: HostSettings
  readonly ends: ProcessEnd[] = []
  /** Since when it is being stopped as planned, on the steady clock. */
  stoppingSinceMs: number | undefined
  /** When it was last disturbed otherwise. */
  lastDisturbedMs = -Infinity
  isFrozen = false
  readonly #directory: string
  readonly #nowMs: () => number
  readonly #clockOffsetMs: number
  #child: ChildProcess | undefined
  #sentSignal: ProcessEnd['signal'] = ''
  #shouldRestart = true
  /** It has said something: before that it knows no signals. */
  #hasOutput = false

  /** @param hostSettings - where it serves @param directory - for its settings and log @param nowMs - steady clock @param clockOffsetMs - of its time of day */
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

  /** Starts the program. */
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

  /** Stops it as planned. */
  terminate (): void {
    const child = this.#child
    if (child === undefined || !this.#hasOutput || this.#sentSignal !== '' || this.isFrozen) return
    this.#sentSignal = 'SIGTERM'
    this.stoppingSinceMs = this.#nowMs()
    child.kill('SIGTERM')
    setTimeout(() => { if (child === this.#child) this.kill() }, STOP_TIMEOUT_MS).unref()
  }

  /** Ends it at once. */
  kill (): void {
    if (this.#child === undefined) return
    this.#sentSignal = 'SIGKILL'
    this.lastDisturbedMs = this.#nowMs()
    this.#child.kill('SIGKILL')
  }

  /** It stands still. */
  freeze (): void {
    if (this.#child === undefined) return
    this.isFrozen = true
    this.lastDisturbedMs = this.#nowMs()
    this.#child.kill('SIGSTOP')
  }

  /** Its host is suspended: it stands still, and its steady clock will have left that out. */
  suspend (): void {
    const child = this.#child
    if (child === undefined || !this.#hasOutput || this.isFrozen) return
    this.lastDisturbedMs = this.#nowMs()
    child.kill('SIGURG')
    setTimeout(() => { if (child === this.#child) this.freeze() }, SUSPEND_NOTICE_MS).unref()
  }

  /** It goes on. */
  thaw (): void {
    if (!this.isFrozen) return
    this.isFrozen = false
    this.lastDisturbedMs = this.#nowMs()
    this.#child?.kill('SIGCONT')
  }

  /** Its time of day jumps, or jumps back. */
  stepClock (): void {
    if (this.#hasOutput) this.#child?.kill('SIGUSR2')
  }

  /** Ends it for good. @returns once it is gone */
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
