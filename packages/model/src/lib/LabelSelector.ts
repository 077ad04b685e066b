/**
 * Selects hosts by their labels, with the customary operators.
 *
 * @module
 */
import { z } from 'zod'

/** Label names and values of one host. @public */
export type Labels = Readonly<Record<string, string>>

const MAX_LABEL_LENGTH = 253
/** Checks a set of labels. @public */
export const labelsSchema = z.record(
  z.string().min(1).max(MAX_LABEL_LENGTH).regex(/^[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?$/, 'must be a label name such as "rack" or "example.org/tier"'),
  z.string().max(MAX_LABEL_LENGTH)
)

const expressionSchema = z.strictObject({
  key: z.string().min(1),
  operator: z.enum(['In', 'NotIn', 'Exists', 'DoesNotExist', 'Gt', 'Lt']),
  values: z.array(z.string()).max(1000).default([])
}).superRefine((expression, context) => {
  const problem = valuesProblem(expression.operator, expression.values)
  if (problem !== undefined) context.addIssue({ code: 'custom', path: ['values'], message: problem })
})

/** Checks a selector; an empty one selects every host. @public */
export const labelSelectorSchema = z.strictObject({
  matchLabels: labelsSchema.default({}),
  matchExpressions: z.array(expressionSchema).max(32).default([])
})

/** Conditions that must all hold. @public */
export type LabelSelector = z.infer<typeof labelSelectorSchema>
type Operator = LabelSelector['matchExpressions'][number]['operator']

const VALUES_WANTED: Record<Operator, (count: number) => string | undefined> = {
  In: (count) => count === 0 ? 'In needs at least one value' : undefined,
  NotIn: (count) => count === 0 ? 'NotIn needs at least one value' : undefined,
  Exists: (count) => count > 0 ? 'Exists takes no values' : undefined,
  DoesNotExist: (count) => count > 0 ? 'DoesNotExist takes no values' : undefined,
  Gt: (count) => count !== 1 ? 'Gt takes one whole number' : undefined,
  Lt: (count) => count !== 1 ? 'Lt takes one whole number' : undefined
}

function valuesProblem (operator: Operator, values: readonly string[]): string | undefined {
  const problem = VALUES_WANTED[operator](values.length)
  if (problem !== undefined) return problem
  const isOrdering = operator === 'Gt' || operator === 'Lt'
  return isOrdering && !/^-?\d+$/.test(values[0] ?? '') ? `${operator} takes one whole number` : undefined
}

const OPERATORS: Record<Operator, (actual: string | undefined, values: readonly string[]) => boolean> = {
  In: (actual, values) => actual !== undefined && values.includes(actual),
  NotIn: (actual, values) => actual === undefined || !values.includes(actual),
  Exists: (actual) => actual !== undefined,
  DoesNotExist: (actual) => actual === undefined,
  Gt: (actual, values) => actual !== undefined && Number(actual) > Number(values[0]),
  Lt: (actual, values) => actual !== undefined && Number(actual) < Number(values[0])
}

/**
 * Decides whether a host is selected.
 *
 * @param selector - the conditions
 * @param labels - the host's labels
 * @returns true when all conditions hold
 * @public
 */
export function matchesSelector (selector: LabelSelector, labels: Labels): boolean {
  for (const [key, value] of Object.entries(selector.matchLabels)) {
    if (labels[key] !== value) return false
  }
  return selector.matchExpressions.every(({ key, operator, values }) => OPERATORS[operator](labels[key], values))
}
