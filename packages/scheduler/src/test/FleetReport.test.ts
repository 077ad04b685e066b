import { expect } from 'chai'
import type { JobId, StepSpec } from '@quillscale/policy'
import { progressKey } from '../lib/records/storeKeys.js'
import { SERVICE, TestService } from './TestService.js'

describe('FleetReport', () => {
  let service: TestService
  afterEach(() => service.close())

  const cases: ReadonlyArray<{ name: string, workers: number, runMs: number, steps: Array<Partial<StepSpec>>, isVacant?: boolean, expected: RegExp[] }> = [
    {
      name: 'a job whose second step waits for the first',
      workers: 1,
      runMs: 0,
      steps: [{ isLasting: true }, { dependsOn: [0] }],
      expected: [/^step 0: 0 of 1 done, 1 placed, on w0-1$/, /^step 1: 0 of 1 done, 0 placed, waits for step 0$/]
    },
    {
      name: 'a job whose service has too few machines',
      workers: 1,
      runMs: 0,
      steps: [{ isLasting: true, taskCount: 6 }],
      expected: [/^step 0: 0 of 6 done, 4 placed/, /has 1 machines and needs 2/, /nobody moves machines/]
    },
    { name: 'a job whose service has no scheduler', workers: 1, runMs: 0, steps: [{ isLasting: true }], isVacant: true, expected: [/^step 0/, /duty is vacant/, /.*/, /.*/] }
  ]
  for (const { name, workers, runMs, steps, isVacant = false, expected } of cases) {
    it(`explains ${name}`, async () => {
      service = new TestService(workers)
      service.maxLeaseMs = 10_000
      await service.takeOver()
      const jobId = await service.submit(1, { runMs }, steps)
      await service.until('the job runs', () => service.runs.records.length > 0)
      await service.until('its demand is published', async () => (await service.report.services()).unwrap().some(({ wantedCores }) => wantedCores > 0))
      if (isVacant) await service.store.transact({ conditions: [], puts: [], removals: [`duty/service/${SERVICE}`] })
      const explanation = (await service.report.explain(jobId, Date.now())).unwrap()
      expect(explanation?.service).to.equal(SERVICE)
      expected.forEach((pattern, index) => {
        if (index < (explanation?.lines.length ?? 0)) expect(explanation?.lines[index]).to.match(pattern)
      })
      expect(explanation?.lines.length).to.be.at.least(2)
    })
  }

  const evacuationCases: ReadonlyArray<{ name: string, steps: Array<Partial<StepSpec>>, evacuated: readonly string[], expected: RegExp[] }> = [
    { name: 'no evacuation', steps: [{ isLasting: true, taskCount: 9 }], evacuated: [], expected: [] },
    { name: 'a zone without workers', steps: [{ isLasting: true, taskCount: 9 }], evacuated: ['z7'], expected: [] },
    { name: 'an evacuation while nothing waits', steps: [{ isLasting: true, taskCount: 2 }], evacuated: ['z1'], expected: [] },
    { name: 'a step that waits for another', steps: [{ isLasting: true }, { dependsOn: [0], requiredLabel: 'r1' }], evacuated: ['z1'], expected: [] },
    {
      name: 'too little room elsewhere',
      steps: [{ isLasting: true, taskCount: 6 }],
      evacuated: ['z1'],
      expected: [/^availability zone z1 is evacuated since revision \d+: 1 of 2 workers there get no new work$/]
    },
    {
      name: 'a step that needs a rack of the zone',
      steps: [{ isLasting: true }, { requiredLabel: 'r1' }],
      evacuated: ['z1'],
      expected: [/^availability zone z1 is/, /^step 1 needs r1 and has no worker outside evacuated availability zones$/]
    },
    { name: 'all zones', steps: [{}], evacuated: ['z0', 'z1'], expected: [/zone z0 is evacuated/, /zone z1 is evacuated/, /^step 0 has no worker outside/] }
  ]
  for (const { name, steps, evacuated, expected } of evacuationCases) {
    it(`names evacuations as reasons: ${name}`, async () => {
      service = new TestService(2, 4000, undefined, 2)
      service.maxLeaseMs = 10_000
      for (const zone of evacuated) service.evacuate(zone)
      await service.takeOver()
      const jobId = await service.submit(1, { runMs: 0 }, steps)
      await service.until('its demand is published', async () => (await service.report.services()).unwrap().some(({ wantedCores }) => wantedCores > 0))
      const isPlaced = async (): Promise<boolean> => / [1-9] placed/.test((await service.report.explain(jobId, Date.now())).unwrap()?.lines[0] ?? '')
      if (evacuated.length < 2) await service.until('tasks are recorded', isPlaced)
      const lines = (await service.report.explain(jobId, Date.now())).unwrap()?.lines.filter((line) => line.includes('evacuated')) ?? []
      expect(lines).to.have.length(expected.length)
      expected.forEach((pattern, index) => expect(lines[index]).to.match(pattern))
    })
  }

  it('summarizes the zones, with runs whose zone is not known and records that cannot be read', async () => {
    service = new TestService(2, 4000, undefined, 2)
    service.evacuate('z1')
    await service.takeOver()
    await service.submit(1, { runMs: 0 }, [{ isLasting: true, taskCount: 2 }])
    await service.until('its tasks are recorded', async () => (await service.report.zones()).unwrap().zones[0]?.runs.get(SERVICE) === 2)
    const progressOf = (instanceId: string): string => JSON.stringify({ status: 'running', tasks: [{ key: 't', lastRunNumber: 1, runs: [{ runNumber: 1, instanceId }] }] })
    service.write(progressKey(SERVICE, 'a' as JobId), progressOf('w9-1'))
    service.write(progressKey(SERVICE, 'b' as JobId), '{')
    const { zones, unreadableKeys } = (await service.report.zones()).unwrap()
    const rows = zones.map((row) => [row.availabilityZone, row.evacuatedSinceRevision !== undefined, [...row.workers], [...row.runs]])
    expect(rows).to.deep.equal([['z0', false, [[SERVICE, 1]], [[SERVICE, 2]]], ['z1', true, [[SERVICE, 1]], []], [undefined, false, [], [[SERVICE, 1]]]])
    await service.until('the log tells why a worker gets no new runs', () => service.log.lines.some((line) => /^need of machines.*"withoutNewRuns":{"evacuated":1}/.test(line)))
    expect(unreadableKeys).to.deep.equal([progressKey(SERVICE, 'b' as JobId)])
  })

  it('names the task that made a job fail', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 5, fails: true }, [{}])
    await service.untilStatus(jobId, 'failed')
    await service.until('its demand is published', async () => (await service.report.services()).unwrap().length > 0)
    const explanation = (await service.report.explain(jobId, Date.now())).unwrap()
    expect(explanation?.lines).to.deep.equal([`a task of it failed as often as its queue allows: ${jobId}.0.0.0`])
  })

  it('lists duty holders and services, and returns nothing for a job that was never submitted', async () => {
    service = new TestService(1)
    const { fencingToken } = await service.takeOver()
    await service.until('its demand is published', async () => (await service.report.services()).unwrap().length === 1)
    const report = service.report
    expect((await report.duties()).unwrap()).to.deep.equal([{ duty: `service/${SERVICE}`, holder: 'test', fencingToken }])
    expect((await report.services()).unwrap()[0]).to.include({ service: SERVICE })
    expect((await report.explain('00000000000000ff' as never, Date.now())).unwrap()).to.equal(undefined)
  })
})
