/**
 * How callers with a part of their own in the load reach the hosts.
 *
 * @module
 */
import type { CallOutcome } from '@quillscale/platform-fleet'
import type { EntryProcess } from './EntryProcess.js'

/** Sends a request to a host. @public */
export type CallHost = (host: EntryProcess, method: 'POST' | 'GET', path: string, key: string, body?: unknown) => Promise<{ readonly outcome: CallOutcome }>
