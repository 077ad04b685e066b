/**
 * Tasks of worker hosts over HTTP and JSON.
 *
 * @module
 */
import { z } from 'zod'
import type { Result } from '@quillscale/utils'
import type { PlatformError, TaskReport, TaskStart, WorkerAddress, WorkerTasks } from '@quillscale/ports'
import { PlatformClient } from './PlatformClient.js'

const startSchema = z.object({ outcome: z.enum(['started', 'refused']) })
const reportSchema = z.object({
  taskId: z.string(),
  state: z.enum(['running', 'done', 'failed', 'unknown-task']),
  usedSlots: z.number(),
  checkpoint: z.string().optional(),
  detail: z.string().optional()
})
const reportsSchema = z.object({ tasks: z.array(reportSchema) })

/** Tasks over HTTP. @public */
export class HttpWorkerTasks implements WorkerTasks {
  readonly #clients = new Map<string, PlatformClient>()

  start (worker: WorkerAddress, task: TaskStart): Promise<Result<'started' | 'refused', PlatformError>> {
    return this.#client(worker).call('startTask', '/tasks/start', task, startSchema).then((answer) => answer.map(({ outcome }) => outcome))
  }

  renew (worker: WorkerAddress, taskIds: readonly string[], leaseMs: number): Promise<Result<readonly TaskReport[], PlatformError>> {
    return this.#client(worker).call('renewTasks', '/tasks/renew', { taskIds, leaseMs }, reportsSchema).then((answer) => answer.map(({ tasks }) => tasks))
  }

  stop (worker: WorkerAddress, taskId: string): Promise<Result<TaskReport, PlatformError>> {
    return this.#client(worker).call('stopTask', '/tasks/stop', { taskId }, reportSchema)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.#clients.values()].map((client) => client.close()))
  }

  #client ({ address, port }: WorkerAddress): PlatformClient {
    const endpoint = `http://${address}:${port}`
    const known = this.#clients.get(endpoint)
    if (known !== undefined) return known
    const created = new PlatformClient({ endpoint })
    this.#clients.set(endpoint, created)
    return created
  }
}
