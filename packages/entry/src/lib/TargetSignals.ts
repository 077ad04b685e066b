/**
 * What targets say of themselves: that they leave, or nothing at all.
 *
 * @module
 */
import { z } from 'zod'
import { isHostId, type HostId } from '@quillscale/model'

/** What was noticed of a target. @public */
export type TargetSignal = 'leaving' | 'down'

const signalSchema = z.object({ hostId: z.custom<HostId>(isHostId), signal: z.enum(['leaving', 'down', 'up']) })

/** The topic of these notices. @public */
export const TARGET_SIGNAL_TOPIC = 'targets/signal'
const SIGNAL_KEPT_MS = 30_000

/** Signals of targets, shared by the entry hosts that can reach each other. @public */
export class TargetSignals {
  readonly #signals = new Map<HostId, { signal: TargetSignal, atMs: number }>()
  /** Grows with each change. */
  version = 0
  readonly #onChange: () => void
  readonly #share: (body: unknown) => void

  /**
   * @param share - tells the other entry hosts
   * @param onChange - called when a signal came or went
   */
  constructor (share: (body: unknown) => void, onChange: () => void) {
    this.#share = share
    this.#onChange = () => {
      this.version++
      onChange()
    }
  }

  /** @param hostId - a target's host @returns what was noticed of it */
  signalOf (hostId: HostId): TargetSignal | undefined {
    return this.#signals.get(hostId)?.signal
  }

  /** @param hostId - whose @param signal - what was noticed; `up` takes it back @param nowMs - the present time */
  notice (hostId: HostId, signal: TargetSignal | 'up', nowMs: number): void {
    if (this.#set(hostId, signal, nowMs)) this.#share({ hostId, signal })
  }

  /** @param body - a notice of another entry host @param nowMs - the present time */
  receive (body: unknown, nowMs: number): void {
    const parsed = signalSchema.safeParse(body)
    if (parsed.success) this.#set(parsed.data.hostId, parsed.data.signal, nowMs)
  }

  /** Forgets signals that were not renewed, so that a target that came back is tried again. @param nowMs - the present time */
  sweep (nowMs: number): void {
    let isChanged = false
    for (const [hostId, { atMs }] of this.#signals) {
      if (nowMs - atMs <= SIGNAL_KEPT_MS) continue
      this.#signals.delete(hostId)
      isChanged = true
    }
    if (isChanged) this.#onChange()
  }

  #set (hostId: HostId, signal: TargetSignal | 'up', nowMs: number): boolean {
    const known = this.#signals.get(hostId)
    if (signal === 'up') {
      if (!this.#signals.delete(hostId)) return false
      this.#onChange()
      return true
    }
    if (known?.signal === signal) {
      const isWorthTelling = nowMs - known.atMs > SIGNAL_KEPT_MS / 3
      if (isWorthTelling) known.atMs = nowMs
      return isWorthTelling
    }
    this.#signals.set(hostId, { signal, atMs: nowMs })
    this.#onChange()
    return true
  }
}
