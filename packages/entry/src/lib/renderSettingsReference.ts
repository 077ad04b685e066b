/**
 * Makes the reference of settings from their checks.
 *
 * @module
 */
import { z } from 'zod'
import { settingsSchema } from './settings.js'

interface JsonSchema {
  readonly type?: string
  readonly description?: string
  readonly default?: unknown
  readonly const?: unknown
  readonly enum?: readonly unknown[]
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly required?: readonly string[]
  readonly oneOf?: readonly JsonSchema[]
  readonly anyOf?: readonly JsonSchema[]
  readonly items?: JsonSchema
}

interface Field { readonly path: string, readonly type: string, readonly isRequired: boolean, readonly fallback: string, readonly meaning: string }

function typeOf (schema: JsonSchema): string {
  if (schema.const !== undefined) return JSON.stringify(schema.const)
  if (schema.enum !== undefined) return schema.enum.map((value) => JSON.stringify(value)).join(' or ')
  if (schema.type === 'array') return `list of ${typeOf(schema.items ?? {})}`
  return schema.type ?? 'text'
}

function fieldsOf (schema: JsonSchema, prefix: string): Field[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const path = prefix === '' ? name : `${prefix}.${name}`
    const variants = property.oneOf ?? property.anyOf ?? []
    if (variants.length > 0) return variants.flatMap((variant) => fieldsOf(variant, path))
    if (property.properties !== undefined) return fieldsOf(property, path)
    const isRequired = schema.required?.includes(name) === true && property.default === undefined
    const fallback = property.default === undefined ? '' : JSON.stringify(property.default)
    return [{ path, type: typeOf(property), isRequired, fallback, meaning: property.description ?? '' }]
  })
}

/** @returns the reference as a page @public */
export function renderSettingsReference (): string {
  const schema = z.toJSONSchema(settingsSchema, { unrepresentable: 'any', io: 'input' }) as JsonSchema
  const rows = fieldsOf(schema, '').map(({ path, type, isRequired, fallback, meaning }) =>
    `| \`${path}\` | ${type} | ${isRequired ? 'yes' : ''} | ${fallback === '' ? '' : `\`${fallback}\``} | ${meaning} |`)
  return [
    '# Settings', '',
    'One JSON file for each entry host, checked at start; `quillscaled check --settings FILE` only checks. An unknown or bad',
    'field is refused with its path and the reason. This page is made from the checks by `npm run docs:settings`.', '',
    '| field | type | required | default | meaning |', '| --- | --- | --- | --- | --- |', ...rows, ''
  ].join('\n')
}
