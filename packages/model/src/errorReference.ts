/**
 * Prints the page of error kinds.
 *
 * @module
 */
import { renderErrorReference } from './lib/renderErrorReference.js'

process.stdout.write(renderErrorReference())
