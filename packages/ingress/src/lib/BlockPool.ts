/**
 * Keeps blocks of memory for bodies that are being received, so that a crowd of bodies leaves no garbage.
 *
 * @module
 */

/** Size of a block. @internal */
export const BLOCK_BYTES = 4096
/** Blocks that are kept for the next bodies. */
const MAX_FREE_BLOCKS = 1024

/** Hands out blocks and takes them back. @public */
export class BlockPool {
  readonly #free: Buffer[] = []

  /** Takes a block; its content is arbitrary. @returns the block */
  take (): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  /** Gives blocks back. @param blocks - blocks that are not used any more */
  give (blocks: readonly Buffer[]): void {
    for (const block of blocks) if (this.#free.length < MAX_FREE_BLOCKS) this.#free.push(block)
  }
}
