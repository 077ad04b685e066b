/**
 * Makes the platform that the settings name.
 *
 * @module
 */
import { readFileSync } from 'node:fs'
import { parseDeclaration } from '@quillscale/model'
import type { Platform } from '@quillscale/ports'
import { EditManager, ConfigurationReplica, type Edit, type JsonObject } from '@quillscale/configuration'
import { createHttpPlatform } from '@quillscale/platform-http'
import { MemoryHosts, MemoryKeyValueStore } from '@quillscale/platform-memory'
import type { Settings } from './settings.js'

/** The platform, with a way to leave it. @public */
export type OpenPlatform = Platform & { readonly close: () => Promise<void> }

/**
 * Makes the platform.
 *
 * @param settings - which one
 * @param onCall - counts calls by kind
 * @returns the platform
 * @public
 */
export async function createPlatform (settings: Settings, onCall: (kind: string) => void): Promise<OpenPlatform> {
  const { platform } = settings
  if (platform.kind === 'http') return createHttpPlatform({ endpoint: platform.endpoint, callTimeoutMs: platform.callTimeoutMs, onCall })
  const store = new MemoryKeyValueStore()
  const hosts = new MemoryHosts(platform.hosts)
  await declareFrom(platform.declarationFiles, store)
  return { keyValueStore: store, hostDirectory: hosts, hostControl: hosts, close: async () => {} }
}

async function declareFrom (files: readonly string[], store: MemoryKeyValueStore): Promise<void> {
  const edits = files.flatMap((file): Edit[] => readDeclarations(file).map((raw) => {
    const parsed = parseDeclaration(raw)
    if ('problems' in parsed) throw new Error(`${file}: ${parsed.problems.map(({ path, reason }) => `${path} ${reason}`).join('; ')}`)
    const { kind, name, spec } = parsed.declaration
    return { editId: `file:${file}`, kind, name, spec: JSON.parse(JSON.stringify(spec)) as JsonObject }
  }))
  const manager = new EditManager(store, new ConfigurationReplica(), { pause: async () => {}, nowMs: () => Date.now() })
  const accepted = await manager.accept(edits)
  if (accepted.err) throw accepted.val
}

function readDeclarations (file: string): unknown[] {
  const content: unknown = JSON.parse(readFileSync(file, 'utf8'))
  return Array.isArray(content) ? content : [content]
}
