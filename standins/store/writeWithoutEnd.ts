import type * as stream from 'node:stream';

/**
 * Writes a piece again and again, as fast as it is taken, until the stream closes or a write fails. A write that fails
 * calls back before the stream is destroyed, and what is written within that call fails in the same turn.
 *
 * @param onPiece Is told of each piece before it is written.
 */
export function writeWithoutEnd(
  output: stream.Writable,
  piece: string | Buffer,
  onPiece: () => void,
): void {
  const write = (error?: Error | null) => {
    if (output.destroyed || (error !== undefined && error !== null)) return;
    onPiece();
    output.write(piece, write);
  };
  write();
}
