/**
 * Structured logs.
 *
 * @module
 */
import bunyan from 'bunyan'
import type { Settings } from './settings.js'

/**
 * Makes the logger of one entry host. Settings are never logged as a whole: they hold keys.
 *
 * @param settings - name, zone and level
 * @param isSilent - for tests
 * @returns the logger
 * @public
 */
export function createLogger (settings: Settings, isSilent = false): bunyan {
  return bunyan.createLogger({
    name: 'quillscaled',
    entryHostId: settings.entryHostId,
    availabilityZone: settings.availabilityZone,
    level: isSilent ? bunyan.FATAL + 1 : settings.log.level,
    serializers: { err: bunyan.stdSerializers.err }
  })
}
