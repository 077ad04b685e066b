/**
 * Moves unused slots between entry hosts: within the zone first, then from other zones.
 *
 * The lender takes a slot out of its own share before it answers, so no slot is used by two; a borrower that breaks off
 * keeps what it runs, and the lender waits before it uses those slots again.
 *
 * @module
 */
import { z } from 'zod'
import type { Clock } from '@quillscale/utils'
import { isAvailabilityZone, isHostId, type AvailabilityZone, type EntryHostId, type HostId } from '@quillscale/model'
import type { Member, PeerIdentity, PeerMesh } from '@quillscale/membership'
import type { ServiceRegistry } from './ServiceRegistry.js'

/** The topics of this concern. @public */
export const LENDING_TOPICS = { borrow: 'slots/borrow', giveBack: 'slots/return' } as const

const borrowSchema = z.object({ service: z.string(), wanted: z.number().int().positive().max(1000) })
const grantSchema = z.object({
  grants: z.array(z.object({
    hostId: z.custom<HostId>(isHostId),
    availabilityZone: z.custom<AvailabilityZone>(isAvailabilityZone),
    address: z.string(),
    port: z.number(),
    slots: z.number().int().positive()
  }))
})
const returnSchema = z.object({ service: z.string(), slots: z.array(z.tuple([z.custom<HostId>(isHostId), z.number().int().positive()])) })
/** What a heartbeat tells of spare slots. @public */
export const spareSchema = z.record(z.string(), z.number())

interface Loan { readonly service: string, readonly hostId: HostId, slots: number }
interface Borrower { readonly identity: PeerIdentity, readonly loans: Loan[] }

const BORROW_TIMEOUT_MS = 1000
const MAX_BORROW = 32
/** Longer than a borrower's view needs to notice that the link is gone. */
const RECLAIM_AFTER_MS = 5000
const IDLE_BEFORE_RETURN_MS = 500

/** Borrows and lends. @public */
export class SlotLending {
  readonly #mesh: PeerMesh
  readonly #registry: () => ServiceRegistry
  readonly #clock: Clock
  readonly #ownZone: AvailabilityZone
  readonly #borrowed = new Map<EntryHostId, Loan[]>()
  readonly #lent = new Map<string, Borrower>()
  readonly #asking = new Set<string>()
  readonly #lastNeedMs = new Map<string, number>()

  /**
   * @param mesh - the links
   * @param registry - the services, known once everything is made
   * @param clock - time
   * @param ownZone - asked first
   */
  constructor (mesh: PeerMesh, registry: () => ServiceRegistry, clock: Clock, ownZone: AvailabilityZone) {
    this.#mesh = mesh
    this.#registry = registry
    this.#clock = clock
    this.#ownZone = ownZone
  }

  /** What heartbeats tell: services with spare slots here. */
  spare (): Record<string, number> {
    const spare: Record<string, number> = {}
    for (const { name, router } of this.#registry().services.values()) if (router.spareSlots > 1) spare[name] = router.spareSlots
    return spare
  }

  /** @param service - its name @returns whether any entry host in reach told of spare slots */
  canBorrow (service: string): boolean {
    return this.#lenders(service).length > 0
  }

  /** @param service - its name @param wanted - how many requests wait */
  async borrow (service: string, wanted: number): Promise<void> {
    this.#lastNeedMs.set(service, this.#clock.monotonicMs())
    const lender = this.#lenders(service)[0]
    if (lender === undefined || this.#asking.has(service)) return
    this.#asking.add(service)
    try {
      const answer = await this.#mesh.request(lender.entryHostId, LENDING_TOPICS.borrow, { service, wanted: Math.min(MAX_BORROW, wanted) }, BORROW_TIMEOUT_MS)
      const parsed = grantSchema.safeParse(answer.val)
      if (answer.err || !parsed.success) return
      for (const { slots, ...target } of parsed.data.grants) {
        this.#noteBorrowed(lender.entryHostId, service, target.hostId, slots)
        this.#registry().services.get(service)?.router.addBorrowedSlots(target, slots)
      }
    } finally {
      this.#asking.delete(service)
    }
  }

  /** @param borrower - who asks @param body - its wish @returns the lent slots */
  lend (borrower: PeerIdentity, body: unknown): z.infer<typeof grantSchema> {
    const { service, wanted } = borrowSchema.parse(body)
    const lent = this.#registry().services.get(service)?.router.lendSlots(wanted) ?? []
    const record = this.#borrower(borrower)
    for (const { target, slots } of lent) record.loans.push({ service, hostId: target.hostId, slots })
    return { grants: lent.map(({ target, slots }) => ({ ...target, slots })) }
  }

  /** @param borrower - who gives back @param body - what */
  takeBack (borrower: PeerIdentity, body: unknown): void {
    const parsed = returnSchema.safeParse(body)
    if (!parsed.success) return
    const { loans } = this.#borrower(borrower)
    for (const [hostId, slots] of parsed.data.slots) {
      let left = slots
      for (const loan of loans) {
        if (loan.service !== parsed.data.service || loan.hostId !== hostId || left === 0) continue
        const settled = Math.min(left, loan.slots)
        loan.slots -= settled
        left -= settled
        this.#registry().services.get(loan.service)?.router.restoreLentSlots(hostId, settled)
      }
    }
  }

  /** Gives back what is idle and settles loans with entry hosts that are gone; called now and then. */
  tick (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const [lender, loans] of this.#borrowed) {
      if (!this.#mesh.isLinked(lender)) this.#giveUp(loans)
      else this.#returnIdle(lender, loans, nowMs)
      this.#borrowed.set(lender, loans.filter(({ slots }) => slots > 0))
    }
    const members = new Map(this.#mesh.members().map((member) => [member.entryHostId, member]))
    for (const [key, borrower] of this.#lent) {
      const member = members.get(borrower.identity.entryHostId)
      const isGone = member === undefined || member.incarnation !== borrower.identity.incarnation ||
        (member.state === 'unreachable' && nowMs - member.lastHeartbeatMs > RECLAIM_AFTER_MS)
      if (!isGone) continue
      for (const loan of borrower.loans) this.#registry().services.get(loan.service)?.router.restoreLentSlots(loan.hostId, loan.slots)
      this.#lent.delete(key)
    }
  }

  /** Lenders with spare slots, of the own zone first, the one with most first. */
  #lenders (service: string): Member[] {
    const spareOf = (member: Member): number => {
      const spare = z.object({ spare: spareSchema }).safeParse(member.status)
      return spare.success ? spare.data.spare[service] ?? 0 : 0
    }
    const isFar = (member: Member): number => member.availabilityZone === this.#ownZone ? 0 : 1
    return this.#mesh.members().filter((member) => member.state === 'reachable' && spareOf(member) > 0)
      .sort((a, b) => isFar(a) - isFar(b) || spareOf(b) - spareOf(a))
  }

  #noteBorrowed (lender: EntryHostId, service: string, hostId: HostId, slots: number): void {
    const loans = this.#borrowed.get(lender) ?? []
    const known = loans.find((loan) => loan.service === service && loan.hostId === hostId)
    if (known !== undefined) known.slots += slots
    else loans.push({ service, hostId, slots })
    this.#borrowed.set(lender, loans)
  }

  /** The lender uses these slots again soon; what still runs ends, nothing new is started. */
  #giveUp (loans: Loan[]): void {
    for (const loan of loans) {
      const state = this.#registry().services.get(loan.service)?.router.target(loan.hostId)
      if (state !== undefined) state.borrowedSlots = Math.max(0, state.borrowedSlots - loan.slots)
      loan.slots = 0
    }
  }

  #returnIdle (lender: EntryHostId, loans: Loan[], nowMs: number): void {
    const returned = new Map<string, Array<[HostId, number]>>()
    for (const loan of loans) {
      const router = this.#registry().services.get(loan.service)?.router
      const isNeeded = nowMs - (this.#lastNeedMs.get(loan.service) ?? -Infinity) < IDLE_BEFORE_RETURN_MS && router?.target(loan.hostId)?.isLeaving !== true
      const given = isNeeded ? 0 : router?.returnBorrowedSlots(loan.hostId, loan.slots) ?? loan.slots
      if (given === 0) continue
      loan.slots -= given
      returned.set(loan.service, [...(returned.get(loan.service) ?? []), [loan.hostId, given]])
    }
    for (const [service, slots] of returned) this.#mesh.notify(lender, LENDING_TOPICS.giveBack, { service, slots })
  }

  #borrower (identity: PeerIdentity): Borrower {
    const key = `${identity.entryHostId}/${identity.incarnation}`
    const known = this.#lent.get(key)
    if (known !== undefined) return known
    const created: Borrower = { identity, loans: [] }
    this.#lent.set(key, created)
    return created
  }
}
