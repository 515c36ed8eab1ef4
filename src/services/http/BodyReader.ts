import type * as stream from 'node:stream';
import type * as decisions from '../../decisions/bodies/index.js';
import * as buffers from './BodyBuffer.js';
import type * as memories from './BodyMemory.js';

/** How reading a body ended. */
export type BodyResult =
  | {readonly kind: 'complete'; readonly bytes: Buffer}
  | {readonly kind: 'tooLarge'}
  /** The body came in too many small pieces, most of those that the process receives. */
  | {readonly kind: 'fragmented'}
  /** The bodies that the process receives took too much memory together. */
  | {readonly kind: 'dropped'}
  /** The body did not arrive in time. */
  | {readonly kind: 'expired'}
  | {readonly kind: 'incomplete'};

/** The limits on one body. */
export interface BodyLimits {
  readonly maxBytes: number;

  /** Bounds the body together with others. */
  readonly memory: memories.BodyMemory;

  /** Aborted when the time for reading the body has expired. */
  readonly expirySignal?: AbortSignal;
}

/** Reads the whole body of a request or of an answer. Discards the bytes that follow a failure. */
export class BodyReader implements memories.HeldBody {
  private readonly source: stream.Readable;
  private readonly limits: BodyLimits;
  private readonly buffer: buffers.BodyBuffer;
  private readonly onExpired = () => this.settle({kind: 'expired'});
  private readonly onPiece = (piece: Buffer) => this.add(piece);
  private resolve: (result: BodyResult) => void = () => {};
  private isSettled = false;

  /** @param source The body; nothing has been read from it yet. */
  constructor(
    source: stream.Readable,
    direction: decisions.BodyDirection,
    limits: BodyLimits,
  ) {
    this.source = source;
    this.limits = limits;
    this.buffer = new buffers.BodyBuffer(direction);
  }

  get heldBytes(): number {
    return this.buffer.heldBytes;
  }

  get excessPieceCount(): number {
    return this.buffer.excessPieceCount;
  }

  drop(reason: memories.DropReason): void {
    this.settle({kind: reason === 'memory' ? 'dropped' : reason});
  }

  /** Reads the body to its end or to the first limit that it exceeds. */
  read(): Promise<BodyResult> {
    const {source, limits} = this;
    return new Promise(resolve => {
      this.resolve = resolve;
      source.on('data', this.onPiece);
      source.once('end', () =>
        this.settle({kind: 'complete', bytes: this.buffer.toBytes()}),
      );
      source.once('error', () => this.settle({kind: 'incomplete'}));
      source.once('close', () => this.settle({kind: 'incomplete'}));
      limits.expirySignal?.addEventListener('abort', this.onExpired);
    });
  }

  /** Frees the body's part of the common memory, once the body is no longer needed. */
  release(): void {
    this.limits.memory.remove(this);
  }

  private add(piece: Buffer): void {
    if (this.isSettled) return;
    const {buffer, limits} = this;
    buffer.add(piece);
    if (buffer.sizeBytes > limits.maxBytes) this.settle({kind: 'tooLarge'});
    else limits.memory.update(this);
  }

  private settle(result: BodyResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    const {source, limits} = this;
    source.off('data', this.onPiece);
    limits.expirySignal?.removeEventListener('abort', this.onExpired);
    this.buffer.clear();
    if (result.kind === 'complete') {
      limits.memory.setComplete(this);
    } else {
      this.release();
      source.resume();
    }
    this.resolve(result);
  }
}
