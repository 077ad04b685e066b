/**
 * The jobs of this zone at its holder: changed in batches, one compare-and-swap for all that came together.
 *
 * Why apart from the other documents: it changes often and only the holder needs it, so it is not sent to everyone.
 *
 * @module
 */
import { QuillscaleError, type AvailabilityZone } from '@quillscale/model'
import type { KeyValue, KeyValueStore } from '@quillscale/ports'
import { NO_JOBS, jobsDocumentSchema, type Job, type JobsDocument } from '@quillscale/jobs'

/** Changes jobs; called again on the newest copy when a race was lost. @public */
export type JobsChange = (jobs: Map<string, Job>) => void
/** What became of a change. @public */
export type CommitResult = 'committed' | 'not-committed' | 'unknown'

interface Pending { readonly change: JobsChange, readonly settle: (result: CommitResult) => void }

const KEY_PREFIX = 'quillscale-jobs/'
const MAX_TRIES = 5

/** A zone's jobs. @public */
export class JobStore {
  readonly #store: KeyValueStore
  readonly #key: string
  readonly #token: () => number | undefined
  readonly #onLoad: () => void
  #document: JobsDocument | undefined
  #modRevision = 0
  #pending: Pending[] = []
  #isWriting = false

  /**
   * @param store - the platform's service
   * @param zone - whose jobs
   * @param token - the right to act now
   * @param onLoad - called each time that the jobs become known, whoever asked for them first
   */
  constructor (store: KeyValueStore, zone: AvailabilityZone, token: () => number | undefined, onLoad: () => void) {
    this.#store = store
    this.#key = KEY_PREFIX + zone
    this.#token = token
    this.#onLoad = onLoad
  }

  /** The jobs as last read or written, by id. */
  get jobs (): Readonly<Record<string, Job>> {
    return this.#document?.jobs ?? {}
  }

  /** Whether the jobs have been read since the lease was taken. */
  get isLoaded (): boolean {
    return this.#document !== undefined
  }

  /** @param jobId - a job @returns it, as last read or written @throws QuillscaleError `no-such-job` */
  find (jobId: string): Job {
    const job = this.jobs[jobId]
    if (job === undefined) throw new QuillscaleError('no-such-job', jobId)
    return job
  }

  /** Forgets what was read: another holder may have changed it since. */
  unload (): void {
    this.#document = undefined
  }

  /** @returns whether the jobs are known */
  async load (): Promise<boolean> {
    const read = await this.#store.get(this.#key)
    if (read.err) return false
    this.#take(read.val)
    return this.isLoaded
  }

  /**
   * Changes jobs together with all other changes that wait.
   *
   * @param change - what to do
   * @returns once it is written, or cannot be
   */
  commit (change: JobsChange): Promise<CommitResult> {
    return new Promise((resolve) => {
      this.#pending.push({ change, settle: resolve })
      if (!this.#isWriting) void this.#write()
    })
  }

  async #write (): Promise<void> {
    this.#isWriting = true
    while (this.#pending.length > 0) {
      const batch = this.#pending
      this.#pending = []
      const result = await this.#writeBatch(batch)
      for (const { settle } of batch) settle(result)
    }
    this.#isWriting = false
  }

  async #writeBatch (batch: readonly Pending[]): Promise<CommitResult> {
    let mayHaveWritten = false
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const token = this.#token()
      if (token === undefined) break
      if (this.#document === undefined && !await this.load()) continue
      const document = this.#document ?? NO_JOBS
      if (document.fencingToken > token) break
      const jobs = new Map(Object.entries(document.jobs))
      for (const { change } of batch) change(jobs)
      const next: JobsDocument = { revision: document.revision + 1, fencingToken: token, jobs: Object.fromEntries(jobs) }
      const value = JSON.stringify(next)
      const swap = await this.#store.compareAndSwap({ key: this.#key, expectedModRevision: this.#modRevision, value })
      if (swap.ok && swap.val.swapped) {
        this.#document = next
        this.#modRevision = swap.val.modRevision
        return 'committed'
      }
      if (swap.ok && !swap.val.swapped) {
        this.#take(swap.val.current)
        if (mayHaveWritten && swap.val.current?.value === value) return 'committed'
        continue
      }
      mayHaveWritten = true
      const read = await this.#store.get(this.#key)
      if (read.ok && read.val?.value === value) {
        this.#take(read.val)
        return 'committed'
      }
      if (read.ok) this.#take(read.val)
    }
    return mayHaveWritten ? 'unknown' : 'not-committed'
  }

  #take (stored: KeyValue | undefined): void {
    const isFirst = !this.isLoaded
    this.#modRevision = stored?.modRevision ?? 0
    const parsed = stored === undefined ? undefined : jobsDocumentSchema.safeParse(JSON.parse(stored.value))
    if (parsed === undefined) this.#document = NO_JOBS
    else if (parsed.success) this.#document = parsed.data
    if (isFirst && this.isLoaded) this.#onLoad()
  }
}
