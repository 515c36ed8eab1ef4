import type * as http from 'node:http';

const HEAD_END = '\r\n\r\n';

/**
 * The size in bytes up to which a slice holds several short requests. Parsing slices that are as short as an empty line
 * would take far more processor time than the bytes are worth.
 */
const MIN_SLICE_BYTES = 64;

/** The size in bytes of a slice without the end of a head; the shortest request has 9 bytes. */
const MAX_HEAD_SLICE_BYTES = 512;

/** The size in bytes of a slice of a body of unknown length, behind which other requests may follow. */
const MAX_BODY_SLICE_BYTES = 1024;

/** The memory in bytes that a piece of input takes however small it is. */
const MIN_PIECE_BYTES = 1024;

/** The bytes of a connection that have been read and not been parsed, cut where parsing can pause between requests. */
export class RequestInput {
  private readonly pieces: Buffer[] = [];
  private pieceOffset = 0;
  private accountedBytes = 0;
  private request: http.IncomingMessage | undefined;
  private remainingBodyBytes = 0;

  /** The memory in bytes that the input takes. */
  get heldBytes(): number {
    return this.accountedBytes;
  }

  get isEmpty(): boolean {
    return this.pieces.length === 0;
  }

  /** Whether the body of the last request has not been parsed to its end. */
  get isInBody(): boolean {
    return this.request !== undefined && !this.request.complete;
  }

  /** Adds bytes that were read. */
  add(piece: Buffer): void {
    this.pieces.push(piece);
    this.accountedBytes += getPieceBytes(piece);
  }

  /** Drops all bytes. */
  clear(): void {
    this.pieces.length = 0;
    this.pieceOffset = 0;
    this.accountedBytes = 0;
  }

  /** Sets the request whose head has been parsed last. */
  setRequest(request: http.IncomingMessage): void {
    this.request = request;
    this.remainingBodyBytes = Number(request.headers['content-length'] ?? 0);
  }

  /**
   * Drops the last request once all of it has been parsed. An idle connection would otherwise keep it until the next one,
   * long enough to cost the garbage collector a copy of each.
   */
  releaseCompleteRequest(): void {
    if (this.request?.complete === true) this.request = undefined;
  }

  /** Takes the next bytes to parse: at most a few requests, and the part of a body whose length is known in one slice. */
  takeSlice(): Buffer {
    const [piece] = this.pieces;
    const start = this.pieceOffset;
    const end = Math.min(piece.length, this.getSliceEnd(piece, start));
    if (end === piece.length) {
      this.pieces.shift();
      this.pieceOffset = 0;
      this.accountedBytes -= getPieceBytes(piece);
    } else {
      this.pieceOffset = end;
    }
    return start === 0 && end === piece.length
      ? piece
      : piece.subarray(start, end);
  }

  private getSliceEnd(piece: Buffer, start: number): number {
    if (this.isInBody) {
      if (this.remainingBodyBytes === 0) return start + MAX_BODY_SLICE_BYTES;
      const bytes = Math.min(this.remainingBodyBytes, piece.length - start);
      this.remainingBodyBytes -= bytes;
      return start + bytes;
    }
    const maxEnd = start + MAX_HEAD_SLICE_BYTES;
    const searchStart = start + MIN_SLICE_BYTES - HEAD_END.length;
    const headEnd = piece
      .subarray(searchStart, maxEnd)
      .indexOf(HEAD_END, 0, 'latin1');
    return headEnd < 0 ? maxEnd : searchStart + headEnd + HEAD_END.length;
  }
}

/** Whether bytes that begin with a head are no longer than a slice of them. */
export function isSlice(bytes: Buffer): boolean {
  if (bytes.length > MAX_HEAD_SLICE_BYTES) return false;
  const headEnd = bytes.indexOf(
    HEAD_END,
    MIN_SLICE_BYTES - HEAD_END.length,
    'latin1',
  );
  return headEnd < 0 || headEnd + HEAD_END.length === bytes.length;
}

function getPieceBytes(piece: Buffer): number {
  return Math.max(MIN_PIECE_BYTES, piece.length);
}
