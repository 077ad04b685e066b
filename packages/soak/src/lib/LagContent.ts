/**
 * What consecutive versions of the configuration have, take away and restore for a {@link LagProbe}.
 *
 * @module
 */

/** A key and a queue that a version has or lacks. @public */
export interface LagContent { readonly key: string, readonly path: string }

/** Taken away by one version and restored by the next. @public */
export const RETURNING: LagContent = { key: 'weekly-returning', path: '/returning/' }
/** Taken away by the version that restores {@link RETURNING}. @public */
export const LEAVING: LagContent = { key: 'weekly-leaving', path: '/leaving/' }
