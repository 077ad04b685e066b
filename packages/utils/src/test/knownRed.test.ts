import { execFile } from 'node:child_process'
import { copyFile, mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createRequire } from 'node:module'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const KNOWN_RED = fileURLToPath(new URL('../../../../.ci/knownRed.mjs', import.meta.url))
const MOCHA = createRequire(import.meta.url).resolve('mocha/bin/mocha.js')

/** How a run of one test ends: it passes, fails, or is printed as known and counts as pending. */
type Ending = 'passing' | 'failing' | 'pending'
const WAIT = 'const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms))\n'
const SPIN = 'const endMs = performance.now() + 300; while (performance.now() < endMs);'

const cases: ReadonlyArray<{ readonly name: string, readonly test: string, readonly listed: '' | ' | not each time' | undefined, readonly ending: Ending }> = [
  { name: 'a listed test that passes', test: 'it("t", () => {})', listed: ' | not each time', ending: 'passing' },
  { name: 'a test that is listed as red each time and passes', test: 'it("t", () => {})', listed: '', ending: 'failing' },
  { name: 'a listed test that throws', test: 'it("t", () => { throw new Error("red") })', listed: ' | not each time', ending: 'pending' },
  { name: 'a test that is not listed and throws', test: 'it("t", () => { throw new Error("red") })', listed: undefined, ending: 'failing' },
  { name: 'a listed test over its limit', test: 'it("t", () => wait(300)).timeout(100)', listed: ' | not each time', ending: 'pending' },
  { name: 'a listed test over its limit that never yields', test: `it("t", () => { ${SPIN} }).timeout(100)`, listed: ' | not each time', ending: 'pending' },
  { name: 'a listed test that throws after its limit', test: 'it("t", () => wait(200).then(() => { throw new Error("late") })).timeout(100)', listed: '', ending: 'pending' },
  { name: 'a listed test within the limit that it sets', test: 'it("t", function () { this.timeout(2000); return wait(300) }).timeout(100)', listed: ' | not each time', ending: 'passing' },
  { name: 'a listed test over the limit that it sets', test: 'it("t", function () { this.timeout(100); return wait(300) })', listed: ' | not each time', ending: 'pending' },
  { name: 'a test that is not listed and over its limit', test: 'it("t", () => wait(300)).timeout(100)', listed: undefined, ending: 'failing' }
]

// A listed test that was over its time limit failed the run, and then one that sets a longer limit was ended at the default one.
describe('tests that KNOWN-RED.txt names', () => {
  let directory: string
  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'known-red-'))
    await mkdir(join(directory, '.ci'))
    await copyFile(KNOWN_RED, join(directory, '.ci', 'knownRed.mjs'))
  })
  afterEach(() => rm(directory, { recursive: true }))

  for (const { name, test, listed, ending } of cases) {
    it(`are passed over and no others: ${name}`, async () => {
      if (listed !== undefined) await writeFile(join(directory, 'KNOWN-RED.txt'), `t | cause | issue 1${listed}\n`)
      await writeFile(join(directory, 't.test.mjs'), `${WAIT}${test}\n`)
      const args = [MOCHA, '--no-config', '--reporter', 'spec', '--require', './.ci/knownRed.mjs', 't.test.mjs']
      const output = await new Promise<string>((resolve) => execFile(process.execPath, args, { cwd: directory }, (_error, stdout) => { resolve(stdout) }))
      const endings = (['passing', 'failing', 'pending'] as const).filter((each) => new RegExp(`1 ${each}`).test(output))
      expect(endings, output).to.deep.equal([ending])
      expect(output.includes('KNOWN RED'), output).to.equal(listed !== undefined && ending !== 'failing')
    })
  }
})
