import type * as stream from 'node:stream';

/**
 * Writes a chunk repeatedly until the stream closes or a write fails; each write waits until the stream has accepted
 * the previous one. The callback of a failed write runs before the stream is destroyed, and a write from within that
 * callback would fail in the same turn of the event loop; so writing stops on the first error.
 *
 * @param onChunk Called before each write.
 */
export function writeUntilClosed(
  output: stream.Writable,
  chunk: string | Buffer,
  onChunk: () => void,
): void {
  const write = (error?: Error | null) => {
    if (output.destroyed || (error !== undefined && error !== null)) return;
    onChunk();
    output.write(chunk, write);
  };
  write();
}
