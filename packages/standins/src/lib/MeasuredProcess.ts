/**
 * Runs a program with a small heap, and measures its memory and its descriptors from outside.
 *
 * @module
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { readdirSync, readFileSync } from 'node:fs'

const KB_PER_MB = 1024
const MAX_OUTPUT = 4000

/** A program that runs. @public */
export class MeasuredProcess {
  /** Largest number of open descriptors that was seen. */
  mostDescriptors = 0
  readonly #child: ChildProcess
  #output = ''

  /** @param heapMb - limit of the heap @param args - program and arguments @param onOutput - called with the whole output so far, cut at the front */
  constructor (heapMb: number, args: readonly string[], onOutput: (text: string) => void = () => {}) {
    const child = spawn(process.execPath, [`--max-old-space-size=${heapMb}`, '--max-semi-space-size=4', ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const keep = (text: Buffer): void => {
      this.#output = (this.#output + text.toString()).slice(-MAX_OUTPUT)
      onOutput(this.#output)
    }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    this.#child = child
  }

  /** Whether it still runs. */
  get isAlive (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Its last output. */
  get output (): string {
    return this.#output
  }

  /** Highest memory in use so far, in MB; `Infinity` once it has ended. */
  get peakMemoryMb (): number {
    return this.isAlive ? Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.#child.pid}/status`, 'utf8'))?.[1]) / KB_PER_MB : Infinity
  }

  /** Counts its descriptors now. @returns whether it still runs */
  countDescriptors (): boolean {
    if (this.isAlive) this.mostDescriptors = Math.max(this.mostDescriptors, readdirSync(`/proc/${this.#child.pid}/fd`).length)
    return this.isAlive
  }

  /** Ends it at once. */
  async kill (): Promise<void> {
    if (!this.isAlive) return
    const gone = new Promise((resolve) => this.#child.once('exit', resolve))
    this.#child.kill('SIGKILL')
    await gone
  }
}
