import * as decisions from '../../decisions/bodies/index.js';

/** Counts the pieces in which one body arrives. */
export class PieceCounter {
  private readonly direction: decisions.BodyDirection;
  private pieceCount = 0;
  private totalBytes = 0;

  /** @param direction Whether the body is that of a request or of an answer. */
  constructor(direction: decisions.BodyDirection) {
    this.direction = direction;
  }

  /** The number of bytes of all pieces. */
  get sizeBytes(): number {
    return this.totalBytes;
  }

  /** Whether the pieces are too many for the body's size. */
  get isFragmented(): boolean {
    return decisions.isFragmented(
      this.direction,
      this.pieceCount,
      this.totalBytes,
    );
  }

  /** Counts a piece of the given size in bytes. */
  add(pieceBytes: number): void {
    this.pieceCount += 1;
    this.totalBytes += pieceBytes;
  }
}
