import * as decisions from '../../decisions/bodies/index.js';

/** Smaller pieces are copied into blocks, since each object that is kept takes far more memory than a small piece. */
const MIN_KEPT_PIECE_BYTES = 4096;

const MIN_BLOCK_BYTES = 4096;
const MAX_BLOCK_BYTES = 65_536;

/** Collects the pieces of one body. The memory that it holds grows with the body's size, not with its pieces. */
export class BodyBuffer {
  private readonly parts: Buffer[] = [];
  private block = Buffer.alloc(0);
  private usedBlockBytes = 0;
  private readonly direction: decisions.BodyDirection;
  private pieceCount = 0;
  private receivedBytes = 0;
  private reservedBytes = 0;

  /** @param direction Whether the body is that of a request or of an answer. */
  constructor(direction: decisions.BodyDirection) {
    this.direction = direction;
  }

  /** The number of bytes of the body that have been added. */
  get sizeBytes(): number {
    return this.receivedBytes;
  }

  /** The memory that is held in bytes, with what is reserved for further pieces. */
  get heldBytes(): number {
    return this.reservedBytes;
  }

  /** The number of pieces beyond what the body's size explains. */
  get excessPieceCount(): number {
    return decisions.getExcessPieceCount(
      this.direction,
      this.pieceCount,
      this.receivedBytes,
    );
  }

  /** Adds the next piece. It must not be changed afterwards. */
  add(piece: Buffer): void {
    this.pieceCount += 1;
    this.receivedBytes += piece.length;
    if (this.pieceCount === 1 || shouldKeep(piece)) {
      this.closeBlock();
      this.parts.push(piece);
      this.reservedBytes += piece.buffer.byteLength;
      return;
    }
    let copiedBytes = 0;
    while (copiedBytes < piece.length) {
      if (this.usedBlockBytes === this.block.length) this.openBlock();
      const count = piece.copy(this.block, this.usedBlockBytes, copiedBytes);
      this.usedBlockBytes += count;
      copiedBytes += count;
    }
  }

  /** Counts the next piece, without holding it. */
  skip(piece: Buffer): void {
    this.pieceCount += 1;
    this.receivedBytes += piece.length;
  }

  /** Gets the whole body. */
  toBytes(): Buffer {
    this.closeBlock();
    return this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
  }

  /** Frees the memory; the buffer is as new. */
  clear(): void {
    this.pieceCount = 0;
    this.receivedBytes = 0;
    this.parts.length = 0;
    this.block = Buffer.alloc(0);
    this.usedBlockBytes = 0;
    this.reservedBytes = 0;
  }

  private openBlock(): void {
    this.closeBlock();
    const blockBytes = Math.min(
      MAX_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, this.reservedBytes),
    );
    this.block = Buffer.allocUnsafeSlow(blockBytes);
    this.reservedBytes += blockBytes;
  }

  private closeBlock(): void {
    if (this.usedBlockBytes > 0)
      this.parts.push(this.block.subarray(0, this.usedBlockBytes));
    this.block = this.block.subarray(this.usedBlockBytes);
    this.usedBlockBytes = 0;
  }
}

/** Whether to keep a piece as it is: it is a view that keeps its whole buffer in memory. */
function shouldKeep(piece: Buffer): boolean {
  return (
    piece.length >= MIN_KEPT_PIECE_BYTES &&
    piece.length * 2 >= piece.buffer.byteLength
  );
}
