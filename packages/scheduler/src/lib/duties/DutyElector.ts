/**
 * Takes duties on this host: the scheduling of services and the upkeep of machines, each by one host at a time.
 *
 * There is no assignment: whoever sees a duty vacant tries to take it, later the more duties it has already and the smaller
 * the host is, so that duties spread over the hosts.
 *
 * @module
 */
import { decodeJson, delay, type Clock } from '@quillscale/utils'
import type { KeyValueStore } from '@quillscale/ports'
import { LeaseHolder, type PrefixReplica } from '@quillscale/leases'
import { dutyClaimDelayMs } from '@quillscale/policy'
import * as z from 'zod'
import { createReplica } from '../records/createReplica.js'
import type { RecordReader } from '../records/RecordReader.js'
import type { EventLog } from './EventLog.js'
import { DUTY_PREFIX, hostKey, HOSTS_PREFIX } from '../records/storeKeys.js'

/** What does a duty while it is held. @public */
export interface DutyRunner {
  /** Works until closed. */
  run(): Promise<void>
  /** Stops at once. */
  close(): void
  /** Writes what is known, for a planned hand-over. */
  flush(timeoutMs: number): Promise<void>
}

/** What a task is given. @public */
export interface DutyGrant {
  readonly dutyKey: string
  readonly fencingToken: number
  /** Whether the duty is held at this moment; to be asked right before each act. */
  readonly holdsDuty: () => boolean
  /** To be called when another holder was seen. */
  readonly onDeposed: () => void
}

/** What the roster works with. @public */
export interface DutyElectorOptions {
  readonly hostName: string
  /** How much this host can bear, in cores; compared with the others'. */
  readonly capacityCores: number
  readonly store: KeyValueStore
  readonly clock: Clock
  readonly log: EventLog
  readonly records: RecordReader
  readonly ttlMs: number
  /** A number from 0 to 1, fresh at each call. */
  readonly random: () => number
}

/** What hosts said of their power is read again after this; it changes only when hosts of other kinds come. */
const HOSTS_VALID_MS = 20_000
/** At the first start of a fleet, all say how strong they are before any takes a duty. When it starts again, that is known: duties are taken so much sooner. */
const START_PAUSE_MS = 300
/** A host that was deposed lets others try first. */
const DEPOSED_PAUSE_MS = 1000
/** A try takes two calls of the store: so long the duty counts as this host's. */
const TRY_MS = 250
/** For what is not written yet at a planned stop. */
const FLUSH_MS = 600

/** In cores. */
const powerSchema = z.number().positive()

/** A duty without a holder, since this host saw that, and its luck in competing for it. */
interface Vacancy { readonly sinceMs: number, readonly random: number }

interface Duty { readonly holder: LeaseHolder, readonly stop: AbortController, readonly done: Promise<void>, task: DutyRunner | undefined }

/** The roster. @public */
export class DutyElector {
  readonly #options: DutyElectorOptions
  readonly #replica: PrefixReplica
  readonly #duties = new Map<string, Duty>()
  readonly #vacancies = new Map<string, Vacancy>()
  /** Duties that this host was deposed from wait until then. */
  readonly #notBeforeMs = new Map<string, number>()
  readonly #stop = new AbortController()
  #triedMs = -Infinity
  #triedKey = ''
  #powersReadMs = -Infinity
  /** Until then a weak host would not know that it is one, and take what strong hosts are about to. */
  #hasAskedPowers = false
  #mostPower = 0

  /** @param options - what it works with */
  constructor (options: DutyElectorOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#replica = createReplica(log, {
      store, clock, prefix: DUTY_PREFIX, onChange: () => { void this.#learnPowers().then(() => this.#lookForVacancies()) }
    })
  }

  /** How many duties this host has. */
  get heldCount (): number {
    return [...this.#duties.values()].filter(({ task }) => task !== undefined).length
  }

  /** Follows who holds which duty, until stopped. */
  async run (): Promise<void> {
    const isKnown = await this.#sayPower()
    if (!isKnown) await delay(START_PAUSE_MS, this.#stop.signal)
    await this.#replica.run(this.#stop.signal)
  }

  /** @returns whether this host was there before, as strong as now: then the others are known too, and nothing is to be waited for */
  async #sayPower (): Promise<boolean> {
    const { hostName, capacityCores: power, store, log } = this.#options
    const key = hostKey(hostName)
    const value = String(power)
    const before = await store.get(key)
    if (before.ok && before.val?.value === value) return true
    const said = await store.transact({ conditions: [], puts: [{ key, value }], removals: [] })
    if (said.err) log.warn({ error: said.val }, 'other hosts do not know how strong this one is')
    return false
  }

  /** Hosts that left are counted too: at worst a duty is taken a little later. */
  async #learnPowers (): Promise<void> {
    const { store, clock, log, capacityCores: power, records } = this.#options
    const nowMs = clock.monotonicMs()
    if (nowMs - this.#powersReadMs < HOSTS_VALID_MS) return
    const listed = await store.list(HOSTS_PREFIX)
    this.#hasAskedPowers = true
    if (listed.err) {
      log.warn({ error: listed.val }, 'power of other hosts not read')
      return
    }
    this.#powersReadMs = nowMs
    this.#mostPower = Math.max(power, ...listed.val.items.flatMap((item) => records.read(item, (text) => decodeJson(powerSchema, text)) ?? []))
  }

  /**
   * Competes for a duty, once.
   *
   * @param dutyKey - which
   * @param createTask - makes what does it, each time it is taken
   */
  compete (dutyKey: string, createTask: (grant: DutyGrant) => DutyRunner): void {
    if (this.#duties.has(dutyKey) || this.#stop.signal.aborted) return
    const { store, clock, log, ttlMs, hostName } = this.#options
    const stop = new AbortController()
    const holder: LeaseHolder = new LeaseHolder({
      key: dutyKey,
      value: hostName,
      ttlMs,
      store,
      clock,
      mayTry: () => this.#mayTry(dutyKey),
      onTenure: (fencingToken) => this.#changeTenure(dutyKey, fencingToken, createTask),
      onStoreError: (what, error) => log.warn({ dutyKey, error }, what)
    })
    this.#duties.set(dutyKey, { holder, stop, done: holder.run(stop.signal), task: undefined })
    this.#lookForVacancies()
  }

  /** Gives up a duty that does not exist any more. @param dutyKey - which */
  withdraw (dutyKey: string): void {
    const duty = this.#duties.get(dutyKey)
    if (duty === undefined) return
    this.#duties.delete(dutyKey)
    duty.task?.close()
    duty.stop.abort()
  }

  /** @returns the keys competed for */
  keys (): string[] {
    return [...this.#duties.keys()]
  }

  /** Hands all duties over. */
  async stop (): Promise<void> {
    this.#stop.abort()
    await Promise.all([...this.#duties.values()].map(async ({ task, stop, done }) => {
      await task?.flush(FLUSH_MS)
      task?.close()
      stop.abort()
      await done
    }))
  }

  #changeTenure (dutyKey: string, fencingToken: number | undefined, createTask: (grant: DutyGrant) => DutyRunner): void {
    const duty = this.#duties.get(dutyKey)
    if (duty === undefined) return
    duty.task?.close()
    duty.task = undefined
    this.#options.log.info({ dutyKey, fencingToken }, fencingToken === undefined ? 'duty given up' : 'duty taken')
    if (fencingToken === undefined) return
    const { clock, log } = this.#options
    duty.task = createTask({
      dutyKey,
      fencingToken,
      holdsDuty: () => duty.holder.grantAt(clock.latestMs())?.fencingToken === fencingToken,
      onDeposed: () => {
        this.#notBeforeMs.set(dutyKey, clock.monotonicMs() + DEPOSED_PAUSE_MS)
        void duty.holder.abandon()
      }
    })
    duty.task.run().catch((error: unknown) => {
      log.warn({ dutyKey, err: error }, 'duty failed and is given up')
      duty.task?.close()
      void duty.holder.abandon()
    })
  }

  #lookForVacancies (): void {
    const { clock, random } = this.#options
    const nowMs = clock.monotonicMs()
    // Somebody has the duty that was tried last: if it is not this host, others may be tried at once.
    if (this.#replica.items.has(this.#triedKey) && this.#duties.get(this.#triedKey)?.task === undefined) this.#triedMs = -Infinity
    for (const [dutyKey, { holder }] of this.#duties) {
      if (!this.#replica.isListed || !this.#hasAskedPowers || this.#replica.items.has(dutyKey)) {
        this.#vacancies.delete(dutyKey)
        continue
      }
      const vacancy = this.#vacancies.get(dutyKey) ?? { sinceMs: nowMs, random: random() }
      this.#vacancies.set(dutyKey, vacancy)
      setTimeout(() => holder.wake(), Math.max(0, this.#tryFromMs(dutyKey, vacancy, nowMs) - nowMs) + 1).unref()
    }
  }

  /** What this host took meanwhile, or is about to take, lets the others go first. */
  #tryFromMs (dutyKey: string, { sinceMs, random }: Vacancy, nowMs: number): number {
    const { capacityCores: power } = this.#options
    const isTrying = nowMs < this.#triedMs + TRY_MS
    const heldCount = this.heldCount + (isTrying ? 1 : 0)
    const waitMs = dutyClaimDelayMs({ capacityCores: power, maxCapacityCores: this.#mostPower, heldDuties: heldCount, random })
    return Math.max(sinceMs + waitMs, this.#notBeforeMs.get(dutyKey) ?? -Infinity)
  }

  #mayTry (dutyKey: string): boolean {
    const vacancy = this.#vacancies.get(dutyKey)
    if (vacancy === undefined || !this.#replica.isListed || this.#replica.items.has(dutyKey)) return false
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs < this.#tryFromMs(dutyKey, vacancy, nowMs)) return false
    this.#triedMs = nowMs
    this.#triedKey = dutyKey
    return true
  }
}
