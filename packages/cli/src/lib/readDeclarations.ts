/**
 * Reads declarations from files and folders, and checks them before anything is sent.
 *
 * @module
 */
import { readFileSync, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { parseDeclaration, type Declaration } from '@quillscale/model'

/** A declaration and where it was found. @public */
export interface FoundDeclaration { readonly file: string, readonly index: number, readonly declaration: Declaration }

/** A problem in a file. @public */
export interface FileProblem { readonly file: string, readonly index: number, readonly path: string, readonly reason: string }

function listFiles (path: string): string[] {
  if (!statSync(path).isDirectory()) return [path]
  return readdirSync(path, { withFileTypes: true }).sort((a, b) => a.name < b.name ? -1 : 1).flatMap((entry) => {
    if (entry.isDirectory()) return listFiles(join(path, entry.name))
    return entry.name.endsWith('.json') ? [join(path, entry.name)] : []
  })
}

/**
 * Reads declarations.
 *
 * @param path - a file with one declaration or a list, or a folder of such files
 * @returns all declarations, and every problem with its file, place, field and reason
 * @public
 */
export function readDeclarations (path: string): { found: FoundDeclaration[], problems: FileProblem[] } {
  const found: FoundDeclaration[] = []
  const problems: FileProblem[] = []
  const seen = new Map<string, string>()
  for (const file of listFiles(path)) {
    let content: unknown
    try {
      content = JSON.parse(readFileSync(file, 'utf8'))
    } catch (error) {
      problems.push({ file, index: 0, path: '(file)', reason: error instanceof Error ? error.message : String(error) })
      continue
    }
    for (const [index, raw] of (Array.isArray(content) ? content : [content]).entries()) {
      const parsed = parseDeclaration(raw)
      if ('problems' in parsed) {
        problems.push(...parsed.problems.map((problem) => ({ file, index, ...problem })))
        continue
      }
      const { declaration } = parsed
      const id = `${declaration.kind}/${declaration.name}`
      const earlier = seen.get(id)
      if (earlier !== undefined) problems.push({ file, index, path: 'name', reason: `${id} stands in ${earlier} already` })
      seen.set(id, file)
      found.push({ file, index, declaration })
    }
  }
  return { found, problems }
}
