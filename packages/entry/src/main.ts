#!/usr/bin/env -S node --max-semi-space-size=2
/**
 * The entry daemon.
 *
 * @module
 */
import { binary, command, option, optional, run, string, subcommands } from 'cmd-ts'
import { createLogger } from './lib/createLogger.js'
import { EntryHost } from './lib/EntryHost.js'
import { readSettings, type Settings } from './lib/settings.js'

const EXIT_BAD_SETTINGS = 2

const settingsOption = option({ type: string, long: 'settings', short: 's', description: 'JSON file with the settings of this entry host' })

function readOrExit (file: string): Settings {
  const settings = readSettings(file)
  if (settings.ok) return settings.val
  for (const { path, reason } of settings.val) process.stderr.write(`${file}: ${path}: ${reason}\n`)
  process.stderr.write('See docs/operate/settings.md for every field with an example.\n')
  process.exit(EXIT_BAD_SETTINGS)
}

const serve = command({
  name: 'serve',
  description: 'Serve callers, operators and peers until SIGTERM',
  args: { settings: settingsOption, logLevel: option({ type: optional(string), long: 'log-level', description: 'Overrides log.level' }) },
  handler: async ({ settings: file, logLevel: level }) => {
    const settings = readOrExit(file)
    const log = createLogger(settings)
    if (level !== undefined) log.level(level as 'info')
    const host = await EntryHost.start({ settings, log })
    log.info({ ports: host.ports }, 'listening')
    const stop = (): void => { void host.stop().then(() => process.exit(0)) }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
    process.on('unhandledRejection', (error) => log.error({ err: error }, 'unhandled rejection'))
  }
})

const check = command({
  name: 'check',
  description: 'Check a settings file and the files it names, and do nothing else',
  args: { settings: settingsOption },
  handler: ({ settings }) => {
    readOrExit(settings)
    process.stdout.write(`${settings}: good\n`)
  }
})

const cli = subcommands({
  name: 'quillscaled',
  description: 'The entry daemon of quillscale\n\nExamples:\n  quillscaled serve --settings /etc/quillscale/settings.json\n  quillscaled check --settings /etc/quillscale/settings.json',
  cmds: { serve, check }
})

// `quillscaled --settings F` is short for `quillscaled serve --settings F`.
const args = process.argv[2]?.startsWith('-s') === true || process.argv[2]?.startsWith('--settings') === true
  ? [...process.argv.slice(0, 2), 'serve', ...process.argv.slice(2)]
  : process.argv
await run(binary(cli), args)
