/**
 * Makes the page of error kinds from their table.
 *
 * @module
 */
import { ERROR_ANSWERS } from './errorKinds.js'

/** @returns the page @public */
export function renderErrorReference (): string {
  const rows = Object.entries(ERROR_ANSWERS).map(([kind, { statusCode, outcome, retryable, meaning }]) =>
    `| \`${kind}\` | ${statusCode} | ${outcome} | ${retryable ? 'yes' : ''} | ${meaning} |`)
  return [
    '# Error kinds', '',
    'The closed list. Answers carry the kind in `quillscale-error` and what is known of the request in `quillscale-outcome`; the',
    'outcome below holds unless the place that refused knew better. This page is made by `npm run docs:errors`.', '',
    '| kind | status | outcome | may succeed later | meaning |', '| --- | --- | --- | --- | --- |', ...rows, ''
  ].join('\n')
}
