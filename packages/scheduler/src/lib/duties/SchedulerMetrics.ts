/**
 * Collects the counters, gauges and latency histograms of one process, and renders them as text for the metrics endpoint.
 *
 * @module
 */
import type { Histogram } from 'hdr-histogram-js'
// The package's index also loads compression and WebAssembly, which costs 0.05 s of CPU time at each start.
import int32Histogram from 'hdr-histogram-js/dist/Int32Histogram.js'

const { default: Int32Histogram } = int32Histogram

const QUANTILES = [50, 90, 99] as const
/** Maximum number of series of each kind. Further labels are counted as `others`, so that a hostile caller cannot exhaust the memory. */
const MAX_SERIES = 500
const LOWEST_VALUE_MS = 1
const HIGHEST_VALUE_MS = 600_000
const SIGNIFICANT_DIGITS = 2

/** Holds counters, gauges and histograms by name and label. @public */
export class SchedulerMetrics {
  readonly #counters = new Map<string, number>()
  readonly #histograms = new Map<string, Histogram>()
  readonly #gauges = new Map<string, () => number>()

  /**
   * Increments a counter.
   *
   * @param name - name of the counter
   * @param label - value of its only label, such as a queue name
   * @param by - the increment
   */
  count (name: string, label = '', by = 1): void {
    const key = this.#seriesKey(this.#counters, name, label)
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + by)
  }

  /**
   * Reads all series of a labelled counter.
   *
   * @param name - name of the counter
   * @returns the counts by label value
   */
  counts (name: string): Record<string, number> {
    const prefix = `${name}{of="`
    const matching = [...this.#counters].filter(([key]) => key.startsWith(prefix))
    return Object.fromEntries(matching.map(([key, value]) => [key.slice(prefix.length, -2), value]))
  }

  /**
   * Adds a duration to a histogram.
   *
   * @param name - name of the histogram
   * @param label - value of its only label
   * @param tookMs - the duration; values above the range are counted as its upper end
   */
  record (name: string, label: string, tookMs: number): void {
    const key = this.#seriesKey(this.#histograms, name, label)
    const histogram = this.#histograms.get(key) ?? new Int32Histogram(LOWEST_VALUE_MS, HIGHEST_VALUE_MS, SIGNIFICANT_DIGITS)
    this.#histograms.set(key, histogram)
    histogram.recordValue(Math.min(HIGHEST_VALUE_MS, Math.max(0, Math.round(tookMs))))
  }

  /**
   * Registers a gauge.
   *
   * @param name - name of the gauge
   * @param read - called at each rendering to obtain the current value
   */
  gauge (name: string, read: () => number): void {
    this.#gauges.set(name, read)
  }

  /** @returns all metrics as text, one line for each value */
  render (): string {
    const lines = [...this.#counters].map(([key, value]) => `${key} ${value}`)
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`)
    for (const [key, histogram] of this.#histograms) {
      const [name, labels = ''] = key.split('{')
      const otherLabels = labels === '' ? '' : `,${labels.slice(0, -1)}`
      for (const quantile of QUANTILES) lines.push(`${name}_ms{quantile="${quantile / 100}"${otherLabels}} ${histogram.getValueAtPercentile(quantile)}`)
      lines.push(`${name}_count${labels === '' ? '' : `{${labels}`} ${histogram.totalCount}`)
    }
    return lines.join('\n') + '\n'
  }

  /** Returns the key of a series, or that of the `others` series once the limit is reached. */
  #seriesKey (existingSeries: ReadonlyMap<string, unknown>, name: string, label: string): string {
    const key = label === '' ? name : `${name}{of="${label.replaceAll(/["\\\n]/g, '_')}"}`
    return existingSeries.size < MAX_SERIES || existingSeries.has(key) ? key : `${name}{of="others"}`
  }
}
