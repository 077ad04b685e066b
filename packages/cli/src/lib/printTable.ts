/**
 * Prints rows as a table or as JSON.
 *
 * @module
 */

/** How results are printed. @public */
export type OutputFormat = 'table' | 'json'

/** One row: column names and values. @public */
export type Row = Readonly<Record<string, string | number | boolean | null>>

/**
 * Lays rows out in columns.
 *
 * @param rows - with the same columns each
 * @returns the text, with a line of names first
 * @public
 */
export function formatTable (rows: readonly Row[]): string {
  const names = Object.keys(rows[0] ?? {})
  const cells = [names, ...rows.map((row) => names.map((name) => String(row[name] ?? '-')))]
  const widths = names.map((_, column) => Math.max(...cells.map((line) => (line[column] ?? '').length)))
  return cells.map((line) => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n') + '\n'
}

/**
 * Prints a result.
 *
 * @param format - how
 * @param value - printed whole as JSON
 * @param rows - printed as a table
 * @public
 */
export function print (format: OutputFormat, value: unknown, rows: readonly Row[]): void {
  process.stdout.write(format === 'json' ? JSON.stringify(value, null, 2) + '\n' : formatTable(rows))
}
