#!/usr/bin/env node
/**
 * The operators' command.
 *
 * @module
 */
import { binary, runSafely, subcommands } from 'cmd-ts'
import { COMMANDS, CommandFailure } from './lib/commands.js'
import { EXIT_CODE } from './lib/exitCodes.js'
import { NoAnswer, OperatorRefusal } from './lib/OperatorClient.js'

const cli = subcommands({
  name: 'quillscale',
  description: `Operate quillscale.
Exit codes: 0 done, 1 refused, 2 bad file or argument, 3 conflict with another edit, 4 no entry host answers, 5 not in force everywhere in time`,
  cmds: COMMANDS
})

function describe (error: unknown): { message: string, exitCode: number } {
  if (error instanceof CommandFailure) return { message: error.message, exitCode: error.exitCode }
  if (error instanceof NoAnswer) return { message: `no entry host answers: ${error.message}`, exitCode: EXIT_CODE.noAnswer }
  if (error instanceof OperatorRefusal) {
    const problems = error.problems.map((problem) => `\n  ${JSON.stringify(problem)}`).join('')
    return { message: `${error.kind}: ${error.detail}${problems}`, exitCode: error.kind === 'edit-conflict' ? EXIT_CODE.conflict : EXIT_CODE.refused }
  }
  return { message: error instanceof Error ? error.message : String(error), exitCode: EXIT_CODE.badInput }
}

try {
  const result = await runSafely(binary(cli), process.argv)
  if (result._tag === 'error') {
    result.error.run()
    process.exitCode = EXIT_CODE.badInput
  }
} catch (error) {
  const { message, exitCode } = describe(error)
  process.stderr.write(`${message}\n`)
  process.exitCode = exitCode
}
