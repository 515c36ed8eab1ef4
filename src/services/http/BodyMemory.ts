import * as decisions from '../../decisions/bodies/index.js';
import * as memoryDecisions from '../../decisions/memory/index.js';
import * as limits from './SharedLimit.js';

/** Why a body is dropped. */
export type DropReason =
  /** The bodies take too much memory together. */
  | 'memory'
  /** The bodies come in too many small pieces together. */
  | 'fragmented';

/** A body that is being received. */
export interface HeldBody {
  /** The memory in bytes that the body takes. */
  readonly heldBytes: number;

  /** The number of pieces beyond what the body's size explains. */
  readonly excessPieceCount: number;

  /** Stops receiving the body and removes it from the memory that it is counted in. */
  drop(reason: DropReason): void;
}

/** Bounds the memory and the processor time that the bodies of one direction take together. */
export class BodyMemory {
  private readonly bytes: limits.SharedLimit<HeldBody>;
  private readonly pieces: limits.SharedLimit<HeldBody>;

  /**
   * @param direction Whether the bodies are those of requests or of answers.
   * @param maxHeldBytes The most memory in bytes that several bodies may take together.
   */
  constructor(
    direction: decisions.BodyDirection,
    maxHeldBytes = memoryDecisions.MAX_HELD_BODY_BYTES,
  ) {
    // On a small VM the largest body that the operator allows is served while no other one is held.
    this.bytes = new limits.SharedLimit<HeldBody>(
      maxHeldBytes,
      body => body.drop('memory'),
      memoryDecisions.MAX_HELD_BODY_BYTES,
    );
    this.pieces = new limits.SharedLimit<HeldBody>(
      decisions.getMaxExcessPieceCount(direction),
      body => body.drop('fragmented'),
    );
  }

  /** Counts what a body takes while it is being received; may drop that body or another one. */
  update(body: HeldBody): void {
    this.bytes.update(body, body.heldBytes);
    // Does nothing for a body that has just been dropped: it holds nothing any more.
    this.pieces.update(body, body.excessPieceCount);
  }

  /** Records that a body has been received; its memory counts until it is removed, but it is no longer dropped. */
  setComplete(body: HeldBody): void {
    this.bytes.setComplete(body);
    this.pieces.remove(body);
  }

  /** Forgets a body that is no longer held. */
  remove(body: HeldBody): void {
    this.bytes.remove(body);
    this.pieces.remove(body);
  }
}
