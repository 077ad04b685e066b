// Writes what was sent, answered and run, one line each, with the time since the start.
import { createWriteStream } from 'node:fs'

export class Record {
  constructor (path) {
    this.startedMs = performance.now()
    this.stream = createWriteStream(path)
  }

  write (what, fields = {}) {
    this.stream.write(`${((performance.now() - this.startedMs) / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}\n`)
  }

  close () { return new Promise((resolve) => this.stream.end(resolve)) }
}
