import { expect } from 'chai'
import type { StepSpec } from '@quillscale/policy'
import { FleetReport } from '../lib/jobs/FleetReport.js'
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
      await service.until('its demand is published', async () => (await new FleetReport(service.store).services()).unwrap().some(({ wantedCores }) => wantedCores > 0))
      if (isVacant) await service.store.transact({ conditions: [], puts: [], removals: [`duty/service/${SERVICE}`] })
      const explanation = (await new FleetReport(service.store).explain(jobId, Date.now())).unwrap()
      expect(explanation?.service).to.equal(SERVICE)
      expected.forEach((pattern, index) => {
        if (index < (explanation?.lines.length ?? 0)) expect(explanation?.lines[index]).to.match(pattern)
      })
      expect(explanation?.lines.length).to.be.at.least(2)
    })
  }

  it('names the task that made a job fail', async () => {
    service = new TestService(1)
    await service.takeOver()
    const jobId = await service.submit(1, { runMs: 5, fails: true }, [{}])
    await service.untilStatus(jobId, 'failed')
    await service.until('its demand is published', async () => (await new FleetReport(service.store).services()).unwrap().length > 0)
    const explanation = (await new FleetReport(service.store).explain(jobId, Date.now())).unwrap()
    expect(explanation?.lines).to.deep.equal([`a task of it failed as often as its queue allows: ${jobId}.0.0.0`])
  })

  it('lists duty holders and services, and returns nothing for a job that was never submitted', async () => {
    service = new TestService(1)
    const { fencingToken } = await service.takeOver()
    await service.until('its demand is published', async () => (await new FleetReport(service.store).services()).unwrap().length === 1)
    const report = new FleetReport(service.store)
    expect((await report.duties()).unwrap()).to.deep.equal([{ duty: `service/${SERVICE}`, holder: 'test', fencingToken }])
    expect((await report.services()).unwrap()[0]).to.include({ service: SERVICE })
    expect((await report.explain('00000000000000ff' as never, Date.now())).unwrap()).to.equal(undefined)
  })
})
