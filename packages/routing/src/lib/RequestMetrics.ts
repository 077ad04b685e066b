/**
 * Latency histograms and result counters for each service, tenant and request class, exposed in the Prometheus text format.
 *
 * @module
 */
import hdr, { type Histogram } from 'hdr-histogram-js'

/** Part of a request that is timed. @public */
export type RequestPhase = 'queue' | 'target' | 'total'
const REQUEST_PHASES: readonly RequestPhase[] = ['queue', 'target', 'total']
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const
const MICROSECONDS_PER_MS = 1000
const MAX_RECORDED_MICROSECONDS = 600_000_000

/** Labels that identify one series of metrics. @public */
export interface SeriesLabels {
  readonly service: string
  readonly tenant: string
  readonly requestClass: string
}

/** Measurements of one finished request. @public */
export interface RequestSample extends SeriesLabels {
  readonly queueMs: number
  /** `undefined` if the request was not sent to a target. */
  readonly targetMs: number | undefined
  readonly totalMs: number
  /** `answered` or the kind of the error. */
  readonly result: string
}

interface SeriesRecord { readonly series: SeriesLabels, readonly histograms: Record<RequestPhase, Histogram>, readonly results: Map<string, number> }

/** Limits the memory that the metrics use. @public */
export interface RequestMetricsOptions {
  /** Series beyond this number are recorded under the tenant `other`; 400 by default. */
  readonly maxSeries: number
}

/** Summary of one series. @public */
export interface SeriesSummary extends SeriesLabels {
  readonly results: Readonly<Record<string, number>>
  readonly p50Ms: number
  readonly p99Ms: number
}

function createHistogram (): Histogram {
  return hdr.build({ bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2, numberOfSignificantValueDigits: 2 })
}

const escapeLabel = (text: string): string => text.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n')

/** Records the latency and result of requests. @public */
export class RequestMetrics {
  readonly #series = new Map<string, SeriesRecord>()
  readonly #maxSeries: number

  /** @param options - limits that override the defaults */
  constructor (options: Partial<RequestMetricsOptions> = {}) {
    this.#maxSeries = options.maxSeries ?? 400
  }

  /**
   * Records a finished request.
   *
   * @param sample - measurements of the request
   */
  record (sample: RequestSample): void {
    const record = this.#findOrCreate(sample)
    record.results.set(sample.result, (record.results.get(sample.result) ?? 0) + 1)
    this.#recordDuration(record, 'queue', sample.queueMs)
    if (sample.targetMs !== undefined) this.#recordDuration(record, 'target', sample.targetMs)
    this.#recordDuration(record, 'total', sample.totalMs)
  }

  /**
   * Summarizes all series.
   *
   * @returns one summary for each service, tenant and request class
   */
  summarize (): SeriesSummary[] {
    return [...this.#series.values()].map(({ series, histograms, results }) => ({
      ...series,
      results: Object.fromEntries(results),
      p50Ms: histograms.total.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
      p99Ms: histograms.total.getValueAtPercentile(99) / MICROSECONDS_PER_MS
    }))
  }

  /**
   * Renders all series in the Prometheus text format.
   *
   * @returns the body of the metrics route
   */
  render (): string {
    const lines = ['# TYPE quillscale_request_seconds summary', '# TYPE quillscale_requests_total counter']
    for (const { series, histograms, results } of this.#series.values()) {
      const labels = `service="${escapeLabel(series.service)}",tenant="${escapeLabel(series.tenant)}",class="${escapeLabel(series.requestClass)}"`
      for (const phase of REQUEST_PHASES) lines.push(...renderHistogram(labels, phase, histograms[phase]))
      for (const [result, count] of results) lines.push(`quillscale_requests_total{${labels},result="${result}"} ${count}`)
    }
    return lines.join('\n') + '\n'
  }

  #recordDuration (record: SeriesRecord, phase: RequestPhase, durationMs: number): void {
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS)
    record.histograms[phase].recordValue(Math.max(1, Math.min(MAX_RECORDED_MICROSECONDS, microseconds)))
  }

  #findOrCreate (sample: SeriesLabels): SeriesRecord {
    const key = `${sample.service}\u0000${sample.tenant}\u0000${sample.requestClass}`
    const existing = this.#series.get(key)
    if (existing !== undefined) return existing
    if (this.#series.size >= this.#maxSeries && sample.tenant !== 'other') return this.#findOrCreate({ ...sample, tenant: 'other' })
    const series = { service: sample.service, tenant: sample.tenant, requestClass: sample.requestClass }
    const created: SeriesRecord = {
      series,
      histograms: { queue: createHistogram(), target: createHistogram(), total: createHistogram() },
      results: new Map()
    }
    this.#series.set(key, created)
    return created
  }
}

function renderHistogram (labels: string, phase: RequestPhase, histogram: Histogram): string[] {
  const name = 'quillscale_request_seconds'
  const seconds = (microseconds: number): number => microseconds / 1e6
  const quantiles = QUANTILES.map((quantile) =>
    `${name}{${labels},phase="${phase}",quantile="${quantile}"} ${seconds(histogram.getValueAtPercentile(quantile * 100))}`)
  return [
    ...quantiles,
    `${name}_sum{${labels},phase="${phase}"} ${seconds(histogram.mean * histogram.totalCount) || 0}`,
    `${name}_count{${labels},phase="${phase}"} ${histogram.totalCount}`
  ]
}
