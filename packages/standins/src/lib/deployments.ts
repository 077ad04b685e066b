/**
 * Predefined deployments for tests and benchmarks: their zones, services and hosts.
 *
 * @module
 */
import { createAvailabilityZone, createHostId } from '@quillscale/model'
import type { ListedHost } from '@quillscale/ports'

/** A service of a deployment. @public */
export interface DeployedService {
  readonly name: string
  readonly hostname: string
  /** Mean duration of a request in the stand-ins. */
  readonly workMs: number
  readonly tenants: readonly string[]
}

/** Zones, services and numbers of hosts of a deployment. @public */
export interface Deployment {
  readonly name: string
  readonly availabilityZones: readonly string[]
  readonly services: readonly DeployedService[]
  readonly workersPerService: number
  readonly spareHosts: number
  readonly slotsPerTarget: number
  readonly hostsPerRack: number
}

const KORSORD: Deployment = {
  name: 'korsord',
  availabilityZones: ['west-a', 'west-b', 'west-c', 'west-d'],
  services: [
    { name: 'northern-grids', hostname: 'northern-grids.korsord.example', workMs: 15, tenants: ['norrbotten', 'jamtland', 'dalarna'] },
    { name: 'northern-proofs', hostname: 'northern-proofs.korsord.example', workMs: 25, tenants: ['norrbotten', 'jamtland', 'dalarna'] },
    { name: 'southern-grids', hostname: 'southern-grids.korsord.example', workMs: 15, tenants: ['skane', 'halland', 'blekinge'] },
    { name: 'southern-proofs', hostname: 'southern-proofs.korsord.example', workMs: 25, tenants: ['skane', 'halland', 'blekinge'] },
    { name: 'solution-checks', hostname: 'solution-checks.korsord.example', workMs: 5, tenants: ['norrbotten', 'skane', 'halland'] }
  ],
  workersPerService: 8,
  spareHosts: 8,
  slotsPerTarget: 8,
  hostsPerRack: 4
}

const STRANDBOOK: Deployment = {
  ...KORSORD,
  name: 'strandbook',
  availabilityZones: ['hall-1', 'hall-2', 'hall-3', 'hall-4'],
  services: [
    ...['astra', 'boreal', 'cobalt', 'delta'].map((carrier) => ({
      name: `${carrier}-booking`, hostname: `${carrier}.strandbook.example`, workMs: 10, tenants: ['homeowners', 'landlords']
    })),
    { name: 'portal', hostname: 'portal.strandbook.example', workMs: 8, tenants: ['astra', 'boreal', 'cobalt', 'delta'] }
  ],
  spareHosts: 4
}

/** One zone with one service, for benchmarks. */
const BENCH: Deployment = {
  name: 'bench',
  availabilityZones: ['z1'],
  services: [{ name: 'work', hostname: 'work.bench.example', workMs: 100, tenants: ['a', 'b', 'c', 'd'] }],
  workersPerService: 8,
  spareHosts: 0,
  slotsPerTarget: 8,
  hostsPerRack: 4
}

/** The deployments by name. @public */
export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = { korsord: KORSORD, strandbook: STRANDBOOK, bench: BENCH }

/** A host of a deployment, and the service that it serves, or `spare`. @public */
export interface DeployedHost { readonly listed: ListedHost, readonly use: string }

/**
 * Lists a deployment's worker hosts, with each service spread evenly over the zones and `hostsPerRack` hosts in a rack.
 *
 * @param deployment - the deployment
 * @param firstPort - port of the first host; the other hosts use the ports after it
 * @returns the worker hosts
 * @public
 */
export function deployHosts (deployment: Deployment, firstPort: number): DeployedHost[] {
  const { availabilityZones, services, workersPerService, spareHosts, hostsPerRack } = deployment
  const uses = [...services.flatMap(({ name }) => Array.from({ length: workersPerService }, () => name)), ...Array.from({ length: spareHosts }, () => 'spare')]
  const countInZone = new Map<string, number>()
  return uses.map((use, index) => {
    const zone = availabilityZones[index % availabilityZones.length] as string
    const position = countInZone.get(zone) ?? 0
    countInZone.set(zone, position + 1)
    return {
      use,
      listed: {
        hostId: createHostId(`${zone}-w${String(position).padStart(2, '0')}`),
        availabilityZone: createAvailabilityZone(zone),
        rack: `${zone}-r${Math.floor(position / hostsPerRack)}`,
        role: 'worker',
        state: 'live',
        address: '127.0.0.1',
        port: firstPort + index,
        version: '1'
      }
    }
  })
}
