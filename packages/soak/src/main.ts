/**
 * Command that runs the fault soak with given or random seeds and reports broken promises.
 *
 * @module
 */
import { binary, command, number, option, optional, run, string } from 'cmd-ts'
import { runSoak } from './lib/runSoak.js'

const MS_PER_S = 1000
const SEED_RANGE = 2 ** 31

const soak = command({
  name: 'soak',
  description: 'Runs the real program under faults drawn from a seed, and checks its promises',
  args: {
    seeds: option({ type: optional(string), long: 'seeds', description: 'Seeds to run, separated by commas; random seeds if omitted' }),
    count: option({ type: number, long: 'count', defaultValue: () => 1, description: 'Number of random seeds' }),
    seconds: option({ type: number, long: 'seconds', defaultValue: () => 15, description: 'For how long faults are injected in each run, in seconds' }),
    kinds: option({ type: number, long: 'kinds', defaultValue: () => Infinity, description: 'How many kinds of faults to draw from, to repeat a seed of an earlier build' }),
    firstKind: option({ type: number, long: 'first-kind', defaultValue: () => 1, description: 'The first of these kinds, from 1' }),
    hosts: option({ type: number, long: 'hosts', defaultValue: () => 4, description: 'Number of entry hosts, each a process' }),
    machines: option({ type: number, long: 'machines', defaultValue: () => 5, description: 'Number of machines of each service' })
  },
  handler: async ({ seeds, count, seconds, kinds, firstKind, hosts, machines }) => {
    const chosen = seeds?.split(',').map(Number) ?? Array.from({ length: count }, () => Math.floor(Math.random() * SEED_RANGE))
    let failed = 0
    for (const seed of chosen) {
      const result = await runSoak({ seed, lengthMs: seconds * MS_PER_S, kindCount: kinds, firstKind, hosts, machinesPerService: machines })
      const { jobs, accepted, runs, orders, probes, meetings, stalledMs, broken, faults, directory } = result
      process.stdout.write(`seed ${seed}: ${faults.length} faults, ${accepted} of ${jobs} jobs accepted, ${runs} runs, ${orders} orders for machines, ${probes} probes, ${meetings} meetings, ${stalledMs > 0 ? `stood still for ${stalledMs} ms, ` : ''}` +
        `${broken.length} broken promises${broken.length > 0 ? `, logs in ${directory}` : ''}\n`)
      for (const { promise, detail } of broken.slice(0, 20)) process.stdout.write(`  ${promise}: ${detail}\n`)
      if (broken.length > 0) failed++
    }
    process.stdout.write(`${chosen.length - failed} passed, ${failed} failed\n`)
    process.exit(failed > 0 ? 1 : 0)
  }
})

run(binary(soak), process.argv).catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack ?? error.message : String(error)}\n`)
  process.exit(1)
})
