/**
 * What the decisions about jobs and machines earn under loads and faults, in simulated time, over many seeds.
 *
 * @module
 */
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { command, number, option, optional, run, string } from 'cmd-ts'
import { LoadPlay, type PlayFigures } from './lib/policy/playLoad.js'
import { readPolicyLoad } from './lib/policy/policyLoad.js'
import { writeResult, type FigureRow } from './lib/writeResult.js'

const LOADS = fileURLToPath(new URL('../loads/', import.meta.url))
const DEFAULT_SEEDS = 10
const SILENT_AFTER_MS = 2500

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
const spread = (values: readonly number[]): number => Math.sqrt(mean(values.map((value) => (value - mean(values)) ** 2)))

function rowOf (name: string, plays: readonly PlayFigures[]): FigureRow {
  const of = (pick: (figures: PlayFigures) => number): number => mean(plays.map(pick))
  return {
    load: name,
    seeds: plays.length,
    worth: of(({ worth }) => worth),
    spread: spread(plays.map(({ worth }) => worth)),
    day: of(({ day }) => day),
    worstWindows: of(({ worstWindows }) => worstWindows),
    worstKind: of(({ worstKind }) => worstKind),
    largest: of(({ largest }) => largest),
    machineSeconds: of(({ machineSeconds }) => machineSeconds),
    moves: of(({ moves }) => moves)
  }
}

const bench = command({
  name: 'policy-bench',
  args: {
    load: option({ type: optional(string), long: 'load', description: 'only this one' }),
    seeds: option({ type: number, long: 'seeds', defaultValue: () => DEFAULT_SEEDS })
  },
  handler: ({ load, seeds }) => {
    const names = readdirSync(LOADS).filter((file) => file.endsWith('.json') && (load === undefined || file === `${load}.json`))
    const rows = names.map((file) => {
      const read = readPolicyLoad(LOADS + file)
      const plays = Array.from({ length: seeds }, (_, seed) => new LoadPlay(read, seed + 1, SILENT_AFTER_MS).run())
      return rowOf(read.name, plays)
    })
    writeResult('policy', rows)
  }
})

await run(bench, process.argv.slice(2))
