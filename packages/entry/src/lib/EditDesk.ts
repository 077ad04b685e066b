/**
 * Checks and accepts operators' declarations, one request at a time.
 *
 * @module
 */
import { randomUUID } from 'node:crypto'
import { dispatch, query, spawn, type ActorSystemRef, type Ref } from 'nact'
import { z } from 'zod'
import type { Result } from '@quillscale/utils'
import { DECLARATION_KINDS, QuillscaleError, parseDeclaration, type DeclarationKind, type FieldProblem } from '@quillscale/model'
import { applyEdit, documentNameOf, type AcceptedEdit, type ConfigurationReplica, type Edit, type EditManager, type JsonObject } from '@quillscale/configuration'

const requestSchema = z.strictObject({
  editId: z.string().min(1).max(100).optional(),
  dryRun: z.boolean().default(false),
  declarations: z.array(z.unknown()).max(50_000).default([]),
  deletions: z.array(z.strictObject({ kind: z.enum(DECLARATION_KINDS as [DeclarationKind, ...DeclarationKind[]]), name: z.string() })).default([])
})

interface Job { readonly edits: readonly Edit[], readonly sender: Ref<Result<AcceptedEdit[], QuillscaleError>> }

const QUERY_TIMEOUT_MS = 60_000

/** What a request of an operator did or would do. @public */
export interface EditReport {
  readonly dryRun: boolean
  readonly edits: readonly AcceptedEdit[]
}

/** Takes edits. @public */
export class EditDesk {
  readonly #replica: ConfigurationReplica
  readonly #actor: Ref<Job>

  /**
   * @param system - where its actor lives; its mailbox makes edits of one entry host wait for each other rather than race
   * @param manager - accepts them
   * @param replica - what is in force
   */
  constructor (system: ActorSystemRef, manager: EditManager, replica: ConfigurationReplica) {
    this.#replica = replica
    this.#actor = spawn(system, async (_state: undefined, job: Job) => {
      dispatch(job.sender, await manager.accept(job.edits))
      return undefined
    }, 'edit-desk') as Ref<Job>
  }

  /**
   * Checks edits without making them.
   *
   * @param body - an operator's request
   * @returns the edits
   * @throws QuillscaleError `invalid-declaration` with every refused field
   */
  parse (body: unknown): { edits: Edit[], dryRun: boolean } {
    const request = requestSchema.safeParse(body)
    if (!request.success) throw new QuillscaleError('invalid-declaration', request.error.issues[0]?.message ?? '', { fields: request.error.issues })
    const editId = request.data.editId ?? randomUUID()
    const problems: Array<FieldProblem & { index: number }> = []
    const edits: Edit[] = request.data.deletions.map(({ kind, name }) => ({ editId, kind, name, spec: null }))
    request.data.declarations.forEach((raw, index) => {
      const parsed = parseDeclaration(raw)
      if ('problems' in parsed) {
        problems.push(...parsed.problems.map((problem) => ({ ...problem, index })))
        return
      }
      const { kind, name, spec, baseRevision } = parsed.declaration
      edits.push({ editId, kind, name, spec: JSON.parse(JSON.stringify(spec)) as JsonObject, baseRevision })
    })
    if (problems.length > 0) {
      const first = problems[0] as FieldProblem
      throw new QuillscaleError('invalid-declaration', `${first.path}: ${first.reason}`, { fields: problems })
    }
    return { edits, dryRun: request.data.dryRun }
  }

  /** @param body - an operator's request @returns what it did or would do @throws QuillscaleError */
  async handle (body: unknown): Promise<EditReport> {
    const { edits, dryRun } = this.parse(body)
    if (dryRun) return { dryRun, edits: this.preview(edits) }
    const job = (sender: Ref<Result<AcceptedEdit[], QuillscaleError>>): Job => ({ edits, sender })
    const result = await query(this.#actor, job as never, QUERY_TIMEOUT_MS) as Result<AcceptedEdit[], QuillscaleError>
    if (result.err) throw result.val
    return { dryRun, edits: result.val }
  }

  /** @param edits - checked edits @returns what they would change of what is in force @throws QuillscaleError `edit-conflict` */
  preview (edits: readonly Edit[]): AcceptedEdit[] {
    return edits.map((edit) => {
      const documentName = documentNameOf(edit.kind, edit.name)
      const effect = applyEdit(this.#replica.asDocument(documentName), edit, 0)
      if (effect.err) throw new QuillscaleError('edit-conflict', `${edit.kind}/${edit.name}: ${effect.val.fields.join(', ')}`, { fields: effect.val.fields })
      return { kind: edit.kind, name: edit.name, documentName, revision: effect.val.revision, changedFields: effect.val.changedFields }
    })
  }
}
