import { expect } from 'chai'
import * as fc from 'fast-check'
import { decodeJson, type Result } from '@quillscale/utils'
import { allTasks, createJob, jobSpecSchema } from '@quillscale/policy'
import { decodeProgress, encodeProgress, restoreProgress } from '../lib/jobs/jobProgress.js'
import { decodeMachineDutyRecord, encodeMachineDutyRecord } from '../lib/machines/machineDutyRecord.js'
import { decodeDemand, encodeDemand } from '../lib/records/serviceDemand.js'
import { testJobId } from '@quillscale/policy/testing'

const JOB = { jobId: testJobId(1), queue: 'q', command: 'c', submittedMs: 1, steps: [{ taskCount: 2, cpuMillis: 1000 }] }
const MACHINE_RECORD = {
  tasks: [{ machineId: 'm', kind: 'move' as const, wave: 0, from: 'a', to: 'b', state: 'vacating' as const, request: 'move 1.1' }],
  waves: [{ wave: 1, startedWallMs: 5, settled: ['m'], isDone: false }],
  cooldowns: [{ machineId: 'm', remainingMs: 5 }],
  allPausedMs: 0
}
const PROGRESS = { status: 'running', tasks: [{ key: `${JOB.jobId}.0.0.0`, lastRunNumber: 1, runs: [{ runNumber: 1, instanceId: 'w' }] }] }
const DEMAND = { service: 's', wantedMillis: 1, leastMachines: 1, machineMillis: 1, runsByMachine: new Map([['m', 1]]) }

const decoders: ReadonlyArray<{ name: string, good: string, decode: (text: string) => Result<unknown, unknown> }> = [
  { name: 'a job', good: JSON.stringify(JOB), decode: (text) => decodeJson(jobSpecSchema, text) },
  { name: 'progress', good: JSON.stringify(PROGRESS), decode: decodeProgress },
  { name: 'demand', good: encodeDemand(DEMAND), decode: (text) => decodeDemand('s', text) },
  { name: 'the record of the machine duty', good: encodeMachineDutyRecord(MACHINE_RECORD), decode: decodeMachineDutyRecord }
]

describe('record decoders', () => {
  for (const { name, good, decode } of decoders) {
    it(`${name}: decodes what was encoded, and never throws`, () => {
      expect(decode(good).ok).to.equal(true)
      fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => { decode(text) }))
    })

    it(`${name}: rejects every truncated record`, () => {
      for (let length = 0; length < good.length; length++) expect(decode(good.slice(0, length)).err, good.slice(0, length)).to.equal(true)
    })
  }

  it('progress tells the next holder when a run started by the clock of its worker, and may lack it, as in records of older versions', () => {
    const withStart = { status: 'running' as const, tasks: [{ key: `${JOB.jobId}.0.0.0`, lastRunNumber: 1, runs: [{ runNumber: 1, instanceId: 'w', workerClockStartMs: 7 }] }] }
    for (const progress of [withStart, PROGRESS]) {
      const job = createJob(jobSpecSchema.parse(JOB))
      restoreProgress(job, decodeProgress(JSON.stringify(progress)).unwrap(), 0)
      expect(JSON.parse(encodeProgress(job))).to.deep.equal(progress)
    }
  })

  it('progress of another job, or of tasks that the job does not have, is not restored', () => {
    const key = fc.oneof(fc.string(), fc.tuple(fc.nat(3), fc.nat(3), fc.nat(9)).map((parts) => [JOB.jobId, ...parts].join('.')), fc.constant(`${JOB.jobId}.-1.0.0`))
    fc.assert(fc.property(fc.array(key), (keys) => {
      const job = createJob(jobSpecSchema.parse(JOB))
      const tasks = keys.map((each) => ({ key: each, lastRunNumber: 1, runs: [{ runNumber: 1, instanceId: 'w' }] }))
      restoreProgress(job, { status: 'running', tasks }, 0)
      expect(allTasks(job).length).to.be.at.most(2)
    }))
  })
})
