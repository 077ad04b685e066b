/**
 * Counters and latency histograms of one process, as text for the metrics address.
 *
 * @module
 */
import type { Histogram } from 'hdr-histogram-js'
// Its index also loads compression and WebAssembly, 0.05 s of processor time a start.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js'

const { default: Int32Histogram } = int32Histogram

const QUANTILES = [50, 90, 99] as const
/** Names kept at most: the rest are counted under one name, so that a hostile caller cannot fill the memory. */
const MAX_SERIES = 500
const LOWEST_MS = 1
const HIGHEST_MS = 600_000
const SIGNIFICANT_DIGITS = 2

/** Counters and histograms by name and label. @public */
export class SchedulerMetrics {
  readonly #counters = new Map<string, number>()
  readonly #histograms = new Map<string, Histogram>()
  readonly #gauges = new Map<string, () => number>()

  /** @param name - of the counter @param label - its one label's value, such as a queue @param by - how many */
  count (name: string, label = '', by = 1): void {
    const key = this.#key(this.#counters, name, label)
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + by)
  }

  /** @param name - of a counter @returns its figures by label */
  counts (name: string): Record<string, number> {
    const prefix = `${name}{of="`
    const mine = [...this.#counters].filter(([key]) => key.startsWith(prefix))
    return Object.fromEntries(mine.map(([key, value]) => [key.slice(prefix.length, -2), value]))
  }

  /** @param name - of the histogram @param label - its one label's value @param tookMs - a duration */
  record (name: string, label: string, tookMs: number): void {
    const key = this.#key(this.#histograms, name, label)
    const histogram = this.#histograms.get(key) ?? new Int32Histogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
    this.#histograms.set(key, histogram)
    histogram.recordValue(Math.min(HIGHEST_MS, Math.max(0, Math.round(tookMs))))
  }

  /** @param name - of the gauge @param read - gives its value when asked */
  gauge (name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** @returns all figures, a line each */
  render (): string {
    const lines = [...this.#counters].map(([key, value]) => `${key} ${value}`)
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`)
    for (const [key, histogram] of this.#histograms) {
      const [name, labels = ''] = key.split('{')
      const rest = labels === '' ? '' : `,${labels.slice(0, -1)}`
      for (const quantile of QUANTILES) lines.push(`${name}_ms{quantile="${quantile / 100}"${rest}} ${histogram.getValueAtPercentile(quantile)}`)
      lines.push(`${name}_count${labels === '' ? '' : `{${labels}`} ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }

  #key (known: ReadonlyMap<string, unknown>, name: string, label: string): string {
    const key = label === '' ? name : `${name}{of="${label.replaceAll(/["\\\n]/g, '_')}"}`
    return known.size < MAX_SERIES || known.has(key) ? key : `${name}{of="others"}`
  }
}
