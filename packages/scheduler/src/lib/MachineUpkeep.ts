/**
 * Carries out upkeep waves, while this process holds that duty.
 *
 * Each machine is emptied by its service's scheduler first. Before an order is sent, the intent is written under the duty:
 * a next holder knows which machines may have been ordered, and leaves those alone until the former holder's grant is over.
 *
 * @module
 */
import { delay, type Clock, type Result } from '@quillscale/utils'
import type { KeyValueStore, ListedMachine, MachineControl, WaveRequest } from '@quillscale/ports'
import { PrefixReplica } from '@quillscale/leases'
import { z } from 'zod'
import { CommitLog } from './CommitLog.js'
import type { DutyGrant, DutyTask } from './DutyRoster.js'
import type { EventLog } from './EventLog.js'
import { planWave, type MachineWork, type WorkState } from './planWave.js'
import { chainKey, vacateKey, vacatedKey, VACATED_PREFIX } from './storeKeys.js'

/** What it works with. @public */
export interface MachineUpkeepOptions extends DutyGrant {
  readonly hostName: string
  readonly store: KeyValueStore
  readonly machines: MachineControl
  readonly clock: Clock
  readonly log: EventLog
  /** The waves that operators asked for. */
  readonly waves: () => Iterable<WaveRequest>
  /** Services whose machines are off. */
  readonly isHeadroom: (service: string) => boolean
  /** How a wave's state is shown to operators. */
  readonly waveStatus: (wave: number, isDone: boolean) => { readonly key: string, readonly value: string }
  /** For so long after a holder's last order no other may order the same machine. */
  readonly holderChangeMs: () => number
}

const CHAIN = 'upkeep'
const recordKey = (wave: number): string => `wave/${wave}`
/** Between rounds. */
const ROUND_MS = 150
/** The list of machines is read this often while a wave runs; the platform allows 64 readings a second. */
const LIST_MS = 400
const WATCH_MS = 3000
const RELIST_MS = 5000
/** Added to the pause after a former holder's order. */
const HOLDER_CHANGE_SLACK_MS = 400

const recordSchema = z.object({ machines: z.record(z.string(), z.enum(['ordered', 'begun', 'gone'])), startedMs: z.number() })

interface Wave {
  readonly request: WaveRequest
  readonly startedMs: number
  readonly work: Map<string, MachineWork>
  isShown?: boolean
  /** Shown as done, and every machine takes work again. */
  isDone: boolean
}

/** The task. @public */
export class MachineUpkeep implements DutyTask {
  readonly #options: MachineUpkeepOptions
  readonly #stop = new AbortController()
  readonly #waves = new Map<number, Wave>()
  readonly #vacated: PrefixReplica
  #commits!: CommitLog
  #machines = new Map<string, ListedMachine>()
  #listedMs = -Infinity
  #tookOverMs = 0

  /** @param options - what it works with */
  constructor (options: MachineUpkeepOptions) {
    this.#options = options
    const { store, clock, log } = options
    this.#vacated = new PrefixReplica({
      store,
      clock,
      prefix: VACATED_PREFIX,
      watchMs: WATCH_MS,
      relistMs: RELIST_MS,
      onChange: () => {},
      onContact: (error) => log.warn({ prefix: VACATED_PREFIX, error }, error === undefined ? 'store answers again' : 'store does not answer')
    })
  }

  /** Works until closed. */
  async run (): Promise<void> {
    const { store, clock, log, dutyKey, fencingToken, onDeposed } = this.#options
    this.#tookOverMs = clock.monotonicMs()
    const chain = await this.#readUntilAnswered(() => store.get(chainKey(CHAIN)))
    if (this.#stop.signal.aborted) return
    this.#commits = new CommitLog({
      store,
      clock,
      dutyKey,
      dutyRevision: fencingToken,
      chainKey: chainKey(CHAIN),
      chainRevision: chain?.modRevision ?? 0,
      onDeposed: () => {
        this.close()
        onDeposed()
      },
      onStoreError: (error, transactionNumber) => log.warn({ error, transactionNumber }, 'upkeep records not written yet')
    })
    await Promise.all([this.#commits.run(), this.#vacated.run(this.#stop.signal), this.#rounds()])
  }

  /** Stops at once. */
  close (): void {
    this.#stop.abort()
    this.#commits?.close()
  }

  /** Writes what is known. @param timeoutMs - how long at most */
  async flush (timeoutMs: number): Promise<void> {
    if (this.#commits !== undefined) await Promise.race([this.#commits.flushed(), delay(timeoutMs)])
  }

  async #readUntilAnswered<T> (read: () => Promise<Result<T, unknown>>): Promise<T | undefined> {
    while (!this.#stop.signal.aborted) {
      const answer = await read()
      if (answer.ok) return answer.val
      await delay(ROUND_MS, this.#stop.signal)
    }
    return undefined
  }

  async #rounds (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.#meetWaves()
      const open = [...this.#waves.values()].filter(({ isDone }) => !isDone)
      if (open.length > 0) {
        await this.#list()
        for (const wave of open) await this.#advance(wave)
      }
      await delay(ROUND_MS, this.#stop.signal)
    }
  }

  /** Takes up waves not seen before, with what earlier holders recorded. */
  async #meetWaves (): Promise<void> {
    const { store, clock, log, waveStatus } = this.#options
    for (const request of this.#options.waves()) {
      if (this.#waves.has(request.wave)) continue
      const kept = await this.#readUntilAnswered(() => store.get(recordKey(request.wave)))
      if (this.#stop.signal.aborted) return
      const record = kept === undefined ? undefined : recordSchema.parse(JSON.parse(kept.value))
      const work = new Map(request.machineIds.map((machineId): [string, MachineWork] => {
        const state: WorkState = record?.machines[machineId] ?? 'waiting'
        return [machineId, { machineId, state, isFormerOrder: state === 'ordered', orderedMs: state === 'ordered' ? this.#tookOverMs : undefined, sinceMs: this.#tookOverMs }]
      }))
      const isDone = [...work.values()].every(({ state }) => state === 'begun' || state === 'gone')
      this.#waves.set(request.wave, { request, work, startedMs: record?.startedMs ?? clock.wallMs(), isDone: false })
      if (!isDone && record === undefined) this.#put(waveStatus(request.wave, false))
      log.info({ wave: request.wave, machines: request.machineIds.length, maxAtOnce: request.maxAtOnce, deadlineMs: request.deadlineMs, isResumed: record !== undefined }, 'wave taken up')
    }
  }

  #put ({ key, value }: { readonly key: string, readonly value: string }): void {
    this.#commits.put(key, () => value, true)
  }

  async #list (): Promise<void> {
    const { clock, machines, log } = this.#options
    const askedMs = clock.monotonicMs()
    if (askedMs - this.#listedMs < LIST_MS) return
    const listed = await machines.listMachines()
    if (listed.err) {
      log.warn({ error: listed.val }, 'machines not listed')
      return
    }
    this.#machines = new Map(listed.val.map((machine) => [machine.machineId, machine]))
    this.#listedMs = askedMs
  }

  async #advance (wave: Wave): Promise<void> {
    if (this.#listedMs === -Infinity || !this.#vacated.isListed) return
    const { clock, isHeadroom, holderChangeMs } = this.#options
    const plan = planWave({
      work: [...wave.work.values()],
      machines: this.#machines,
      listedMs: this.#listedMs,
      maxAtOnce: wave.request.maxAtOnce,
      isVacated: (machineId) => this.#vacated.items.get(vacatedKey(machineId))?.value === String(wave.request.wave),
      isHeadroom,
      nowMs: clock.monotonicMs(),
      mayRepeatFormerMs: this.#tookOverMs + holderChangeMs() + HOLDER_CHANGE_SLACK_MS,
      leftShare: 1 - (clock.wallMs() - wave.startedMs) / Math.max(1, wave.request.deadlineMs)
    })
    for (const work of plan.gone) this.#settle(wave, work, 'gone')
    for (const work of plan.returned) this.#release(wave, work)
    for (const work of plan.vacate) this.#askToVacate(wave, work)
    if (plan.order.length > 0) await this.#order(wave, plan.order)
    if ([...wave.work.values()].every(({ state }) => state === 'begun' || state === 'gone')) this.#finish(wave)
  }

  #poolOf (machineId: string): string {
    return this.#machines.get(machineId)?.pool ?? ''
  }

  #askToVacate (wave: Wave, work: MachineWork): void {
    work.state = 'vacating'
    work.sinceMs = this.#options.clock.monotonicMs()
    work.pool = this.#poolOf(work.machineId)
    this.#put({ key: vacateKey(work.pool, work.machineId), value: String(wave.request.wave) })
    this.#options.log.info({ wave: wave.request.wave, machineId: work.machineId, pool: work.pool }, 'machine is to be emptied')
  }

  /** The machine is back, or was found gone: it takes work again. */
  #release (wave: Wave, work: MachineWork): void {
    work.isReleased = true
    if (work.pool !== undefined) this.#commits.put(vacateKey(work.pool, work.machineId), () => undefined, true)
    this.#options.log.info({ wave: wave.request.wave, machineId: work.machineId }, 'machine is back from upkeep')
  }

  #settle (wave: Wave, work: MachineWork, state: 'begun' | 'gone'): void {
    work.state = state
    if (state === 'gone' && work.pool !== undefined) this.#release(wave, work)
    this.#record(wave)
    this.#options.log.info({ wave: wave.request.wave, machineId: work.machineId, state }, 'machine settled')
  }

  #record (wave: Wave): void {
    this.#put({ key: recordKey(wave.request.wave), value: this.#recordOf(wave) })
  }

  #recordOf (wave: Wave): string {
    const machines = Object.fromEntries([...wave.work.values()].flatMap(({ machineId, state }) => state === 'waiting' || state === 'vacating' ? [] : [[machineId, state]]))
    return JSON.stringify({ machines, startedMs: wave.startedMs })
  }

  async #order (wave: Wave, chosen: readonly MachineWork[]): Promise<void> {
    for (const work of chosen) {
      work.state = 'ordered'
      work.orderedMs = this.#options.clock.monotonicMs()
    }
    this.#record(wave)
    if (!await this.#commits.flushed()) return
    await Promise.all(chosen.map((work) => this.#send(wave, work)))
  }

  async #send (wave: Wave, work: MachineWork): Promise<void> {
    const { machines, hostName, fencingToken, log, mayOrder, clock } = this.#options
    if (!mayOrder()) return
    const ordered = await machines.upkeep({ machineId: work.machineId, holder: hostName, fencingToken }, wave.request.wave)
    const outcome = ordered.ok ? ordered.val : ordered.val.kind
    log.info({ wave: wave.request.wave, machineId: work.machineId, fencingToken, outcome }, 'upkeep ordered')
    work.orderedMs = clock.monotonicMs()
    if (outcome === 'accepted') this.#settle(wave, work, 'begun')
    else if (outcome === 'unknown-machine' || outcome === 'not-in-wave') this.#settle(wave, work, 'gone')
  }

  #finish (wave: Wave): void {
    const isAllBack = [...wave.work.values()].every(({ state, isReleased, pool }) => state === 'gone' || pool === undefined || isReleased === true)
    if (wave.isShown !== true) {
      wave.isShown = true
      this.#put(this.#options.waveStatus(wave.request.wave, true))
      this.#options.log.info({ wave: wave.request.wave, tookMs: this.#options.clock.wallMs() - wave.startedMs }, 'wave done')
    }
    wave.isDone = isAllBack
  }
}
