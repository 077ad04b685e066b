/**
 * A key and a queue that configurations replace together, each valid in consecutive versions only.
 *
 * @module
 */
import type { AccountSettings, QueueSettings } from '@quillscale/platform-fleet'

/** A key and a queue, and the versions of the configuration that have them: from `fromVersion`, before `toVersion`. @public */
export interface Rotation {
  readonly key: string
  readonly path: string
  readonly fromVersion: number
  toVersion: number
  /** When the version that removes them began to be written, and when it had been; `Infinity` while they are configured. */
  removingMs: number
  removedMs: number
}

/** The account of the replaced keys. @public */
export const ROTATING_ACCOUNT = 'weekly'
/** A key of that account that is never removed. @public */
export const LASTING_KEY = `${ROTATING_ACCOUNT}-lasting`

const createRotation = (number: number, fromVersion: number): Rotation =>
  ({ key: `${ROTATING_ACCOUNT}-key-${number}`, path: `/${ROTATING_ACCOUNT}-${number}/`, fromVersion, toVersion: Infinity, removingMs: Infinity, removedMs: Infinity })

/** Tracks which versions have which key and queue. @public */
export class Rotations {
  readonly all: Rotation[] = [createRotation(0, 0)]

  /** The key and queue of the newest configuration. */
  get current (): Rotation {
    return this.all.at(-1) as Rotation
  }

  /**
   * Replaces the key and the queue.
   *
   * @param version - the version that will have the new ones
   * @param nowMs - the current time
   * @returns the replaced ones
   */
  rotate (version: number, nowMs: number): Rotation {
    const replaced = this.current
    replaced.toVersion = version
    replaced.removingMs = nowMs
    this.all.push(createRotation(this.all.length, version))
    return replaced
  }

  /** The account as the next configuration contains it. */
  get accountSettings (): AccountSettings {
    return { name: ROTATING_ACCOUNT, keys: [LASTING_KEY, this.current.key], cpuMillis: 0 }
  }

  /** @param template - the host and service of the queue @returns the queue as the next configuration contains it */
  queueSettings (template: QueueSettings): QueueSettings {
    return { ...template, pathPrefix: this.current.path }
  }
}
