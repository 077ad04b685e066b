/**
 * Elects one host for each duty. A duty is a role that exactly one host fills at a time under a lease of the store: scheduling one
 * service, or the maintenance of machines.
 *
 * There is no central assignment. Every host that sees a vacant duty tries to acquire its lease. The more duties a host already holds
 * and the smaller its capacity, the longer it waits first, so that duties spread over the hosts.
 *
 * @module
 */
import { decodeJson, delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore } from '@quillscale/ports'
import { LeaseHolder, type PrefixChange, type PrefixReplica } from '@quillscale/leases'
import { dutyClaimDelayMs } from '@quillscale/policy'
import * as z from 'zod'
import { ADVISORY_AGE_MS, createReplica } from '../records/createReplica.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { EventLog } from './EventLog.js'
import { DUTY_PREFIX, hostKey, HOSTS_PREFIX } from '../records/storeKeys.js'

/** Does the work of a duty while this host holds it. @public */
export interface DutyTask {
  /** Works until {@link DutyTask.close} is called. A rejection makes the host give up the duty. */
  run(): Promise<void>
  /** Stops immediately. */
  close(): void
  /** Writes pending records to the store before a planned handover. */
  flush(timeoutMs: number): Promise<void>
}

/** The right to do a duty, passed to the task that does it. @public */
export interface DutyGrant {
  readonly dutyKey: string
  readonly fencingToken: number
  /** Tells whether this host holds the duty at this moment; must be checked right before each action. */
  readonly holdsDuty: () => boolean
  /** Must be called when the task learns that another host holds the duty. */
  readonly onDeposed: () => void
}

/** Options of {@link DutyElector}. @public */
export interface DutyElectorOptions {
  readonly hostName: string
  /** The capacity of this host in cores, compared with that of the other hosts. */
  readonly capacityCores: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  readonly ttlMs: number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
  /** Called with the changes of all keys of duties, and whether the store has answered without interruption before them. */
  readonly onChange?: (change: PrefixChange, isInContact: boolean) => void
}

/** How long the published capacities of the hosts are cached: they change only when hosts of another size join. */
const CAPACITY_REFRESH_MS = 20_000
/**
 * Delay at the first start of a fleet, so that all hosts publish their capacity before any of them takes a duty. A host that restarts with the same
 * capacity skips it.
 */
const FIRST_START_DELAY_MS = 300
/** How long a deposed host leaves the duty to the other hosts. */
const DEPOSED_BACKOFF_MS = 1000
/** An attempt takes two calls to the store. During this time the duty already counts as held by this host. */
const ATTEMPT_MS = 250
/** Limit for writing pending records at a planned stop. */
const FLUSH_TIMEOUT_MS = 600

/** The capacity of a host in cores, as published in the store. */
const capacitySchema = z.number().positive()

/** A duty without a holder: when this host noticed it, and the random part of the host's wait. */
interface Vacancy { readonly sinceMs: number, readonly random: number }

/** This host's participation in the election for one duty; `task` is set while this host holds the duty. */
interface Candidacy { readonly holder: LeaseHolder, readonly stop: AbortController, readonly done: Promise<void>, task: DutyTask | undefined }

/** Takes part in the elections for duties on behalf of this host, and runs the tasks of those that it wins. @public */
export class DutyElector {
  readonly #options: DutyElectorOptions
  readonly #dutyReplica: PrefixReplica
  readonly #candidacies = new Map<string, Candidacy>()
  readonly #vacancies = new Map<string, Vacancy>()
  /** By key of a duty that this host was deposed from: the earliest time of its next attempt. */
  readonly #earliestRetryMs = new Map<string, number>()
  readonly #stop = new AbortController()
  #lastAttemptMs = -Infinity
  #lastAttemptKey = ''
  #capacitiesReadMs = -Infinity
  /** No duty is taken before the other hosts' capacities are queried: a small host that doesn't know them would take duties ahead of large hosts. */
  #hasQueriedCapacities = false
  #maxCapacityCores = 0

  /** @param options - the identity of the host and its access to the store */
  constructor (options: DutyElectorOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#dutyReplica = createReplica(log, {
      store,
      clock,
      prefix: DUTY_PREFIX,
      maxAgeMs: ADVISORY_AGE_MS,
      onChange: (change) => {
        options.onChange?.(change, this.#dutyReplica.reachableForMs(clock.monotonicMs()) > 0)
        void this.#refreshCapacities().then(() => this.#scheduleAttempts())
      }
    })
  }

  /** Number of duties that this host holds. */
  get heldCount (): number {
    return [...this.#candidacies.values()].filter(({ task }) => task !== undefined).length
  }

  /** Watches the holders of all duties until stopped. */
  async run (): Promise<void> {
    const isAlreadyPublished = await this.#publishCapacity()
    if (!isAlreadyPublished) await delay(FIRST_START_DELAY_MS, this.#stop.signal)
    await this.#dutyReplica.run(this.#stop.signal)
  }

  /**
   * Publishes the capacity of this host.
   *
   * @returns whether the same capacity was already published by a previous start; then the other hosts' are published as well, and the
   *   first-start delay is not needed
   */
  async #publishCapacity (): Promise<boolean> {
    const { hostName, capacityCores, store, log } = this.#options
    const key = hostKey(hostName)
    const value = String(capacityCores)
    const previous = await store.get(key)
    if (previous.ok && previous.val?.value === value) return true
    const writeResult = await store.transact({ conditions: [], puts: [{ key, value }], removals: [] })
    if (writeResult.err) log.warn({ error: writeResult.val }, 'host capacity not published')
    return false
  }

  /** Updates the highest capacity of all hosts. Hosts that have left still count: at worst a duty is taken a little later. */
  async #refreshCapacities (): Promise<void> {
    const { store, clock, log, capacityCores, records } = this.#options
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#capacitiesReadMs < CAPACITY_REFRESH_MS) return
    const listed = await store.list(HOSTS_PREFIX)
    this.#hasQueriedCapacities = true
    if (listed.err) {
      log.warn({ error: listed.val }, 'capacities of other hosts not read')
      return
    }
    this.#capacitiesReadMs = nowMs
    this.#maxCapacityCores = Math.max(
      capacityCores, ...listed.val.items.flatMap((item) => records.read(item, (text) => decodeJson(capacitySchema, text)) ?? [])
    )
  }

  /**
   * Competes for a duty from now on; has no effect if this host already does.
   *
   * @param dutyKey - key of the duty
   * @param createTask - creates the task that does the duty; called each time this host wins it
   */
  compete (dutyKey: string, createTask: (grant: DutyGrant) => DutyTask): void {
    if (this.#candidacies.has(dutyKey) || this.#stop.signal.aborted) return
    const { store, clock, log, ttlMs, hostName } = this.#options
    const stop = new AbortController()
    const holder: LeaseHolder = new LeaseHolder({
      key: dutyKey,
      value: hostName,
      ttlMs,
      store,
      clock,
      mayAcquire: () => this.#mayAttempt(dutyKey),
      onTenureChange: (fencingToken) => this.#handleTenureChange(dutyKey, fencingToken, createTask),
      onStoreError: (what, error) => log.warn({ dutyKey, error }, what)
    })
    this.#candidacies.set(dutyKey, { holder, stop, done: holder.run(stop.signal), task: undefined })
    this.#scheduleAttempts()
  }

  /**
   * Stops competing for a duty that no longer exists, and gives it up if it is held.
   *
   * @param dutyKey - key of the duty
   */
  withdraw (dutyKey: string): void {
    const candidacy = this.#candidacies.get(dutyKey)
    if (candidacy === undefined) return
    this.#candidacies.delete(dutyKey)
    candidacy.task?.close()
    candidacy.stop.abort()
  }

  /** @returns the keys of all duties that this host competes for */
  keys (): string[] {
    return [...this.#candidacies.keys()]
  }

  /** Hands over all duties: writes what is pending, then releases their leases. */
  async stop (): Promise<void> {
    this.#stop.abort()
    await Promise.all([...this.#candidacies.values()].map(async ({ task, stop, done }) => {
      await task?.flush(FLUSH_TIMEOUT_MS)
      task?.close()
      stop.abort()
      await done
    }))
  }

  #handleTenureChange (dutyKey: string, fencingToken: number | undefined, createTask: (grant: DutyGrant) => DutyTask): void {
    const candidacy = this.#candidacies.get(dutyKey)
    if (candidacy === undefined) return
    candidacy.task?.close()
    candidacy.task = undefined
    this.#options.log.info({ dutyKey, fencingToken }, fencingToken === undefined ? 'duty given up' : 'duty taken')
    if (fencingToken === undefined) return
    const { clock, log } = this.#options
    candidacy.task = createTask({
      dutyKey,
      fencingToken,
      holdsDuty: () => candidacy.holder.grantAt(clock.latestMs())?.fencingToken === fencingToken,
      onDeposed: () => {
        this.#earliestRetryMs.set(dutyKey, clock.monotonicMs() + DEPOSED_BACKOFF_MS)
        void candidacy.holder.release()
      }
    })
    candidacy.task.run().catch((error: unknown) => {
      log.warn({ dutyKey, err: error }, 'duty task failed, releasing the duty')
      candidacy.task?.close()
      void candidacy.holder.release()
    })
  }

  #scheduleAttempts (): void {
    const { clock, random } = this.#options
    const nowMs = clock.monotonicMs()
    // If another host won the duty of the last attempt, that attempt is over and no longer counts as a held duty.
    if (this.#dutyReplica.items.has(this.#lastAttemptKey) && this.#candidacies.get(this.#lastAttemptKey)?.task === undefined) this.#lastAttemptMs = -Infinity
    for (const [dutyKey, { holder }] of this.#candidacies) {
      if (!this.#dutyReplica.isListed || !this.#hasQueriedCapacities || this.#dutyReplica.items.has(dutyKey)) {
        this.#vacancies.delete(dutyKey)
        continue
      }
      const vacancy = this.#vacancies.get(dutyKey) ?? { sinceMs: nowMs, random: random() }
      this.#vacancies.set(dutyKey, vacancy)
      setTimeout(() => holder.retryNow(), Math.max(0, this.#earliestAttemptMs(dutyKey, vacancy, nowMs) - nowMs) + 1).unref()
    }
  }

  /** Returns when this host may try to take a vacant duty: the more duties it holds or is acquiring, the later. */
  #earliestAttemptMs (dutyKey: string, { sinceMs, random }: Vacancy, nowMs: number): number {
    const { capacityCores } = this.#options
    const isAttempting = nowMs < this.#lastAttemptMs + ATTEMPT_MS
    const heldCount = this.heldCount + (isAttempting ? 1 : 0)
    const waitMs = dutyClaimDelayMs({ capacityCores, maxCapacityCores: this.#maxCapacityCores, heldDuties: heldCount, random })
    return Math.max(sinceMs + waitMs, this.#earliestRetryMs.get(dutyKey) ?? -Infinity)
  }

  #mayAttempt (dutyKey: string): boolean {
    const vacancy = this.#vacancies.get(dutyKey)
    if (vacancy === undefined || !this.#dutyReplica.isListed || this.#dutyReplica.items.has(dutyKey)) return false
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs < this.#earliestAttemptMs(dutyKey, vacancy, nowMs)) return false
    this.#lastAttemptMs = nowMs
    this.#lastAttemptKey = dutyKey
    return true
  }
}
