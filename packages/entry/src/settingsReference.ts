/**
 * Prints the reference of settings.
 *
 * @module
 */
import { renderSettingsReference } from './lib/renderSettingsReference.js'

process.stdout.write(renderSettingsReference())
