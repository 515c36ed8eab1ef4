/** One block of client addresses. */
export interface BlockEntry {
  /** The first address, as an unsigned 32-bit number. */
  readonly firstAddress: number;

  /** The length of the prefix in bits. */
  readonly prefixBits: number;

  /** The value that the block maps to, such as the index of a region. */
  readonly value: number;
}

const ADDRESS_BITS = 32;

/** The value of an address that is in no block. */
export const NO_BLOCK = -1;

/**
 * Finds the most specific block that contains an address. Nested blocks are flattened into disjoint ranges once, so
 * that a look-up is one binary search over typed arrays, which hold six bytes per range.
 */
export class BlockTable {
  private readonly starts: Uint32Array;
  private readonly values: Int16Array;

  /** @param entries The blocks in any order; of two equal blocks the later one is used. */
  constructor(entries: readonly BlockEntry[]) {
    const ranges = flattenBlocks(entries);
    this.starts = Uint32Array.from(ranges, range => range.start);
    this.values = Int16Array.from(ranges, range => range.value);
  }

  /** Gets the number of disjoint ranges. */
  getRangeCount(): number {
    return this.starts.length;
  }

  /** Gets the value of the most specific block that contains the address, or `NO_BLOCK`. */
  get(address: number): number {
    let low = 0;
    let high = this.starts.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (this.starts[middle] <= address) low = middle + 1;
      else high = middle;
    }
    return low === 0 ? NO_BLOCK : this.values[low - 1];
  }
}

/** A range of addresses that ends where the next range starts. */
interface Range {
  readonly start: number;
  readonly value: number;
}

/** A block that contains the current address of the sweep. */
interface EnclosingBlock {
  /** The first address after the block. */
  readonly end: number;
  readonly value: number;
}

/** Sweeps over the blocks from low to high addresses with a stack of the blocks that contain the current address. */
function flattenBlocks(entries: readonly BlockEntry[]): readonly Range[] {
  const sorted = [...entries].sort(
    (a, b) => a.firstAddress - b.firstAddress || a.prefixBits - b.prefixBits,
  );
  const ranges: Range[] = [];
  const open: EnclosingBlock[] = [];
  const closeBlocksUpTo = (address: number) => {
    for (;;) {
      const top = open.at(-1);
      if (top === undefined || top.end > address) return;
      open.pop();
      addRange(ranges, top.end, open.at(-1)?.value ?? NO_BLOCK);
    }
  };
  for (const entry of sorted) {
    closeBlocksUpTo(entry.firstAddress);
    const end = entry.firstAddress + 2 ** (ADDRESS_BITS - entry.prefixBits);
    open.push({end, value: entry.value});
    addRange(ranges, entry.firstAddress, entry.value);
  }
  closeBlocksUpTo(2 ** ADDRESS_BITS);
  return ranges.filter(range => range.start < 2 ** ADDRESS_BITS);
}

function addRange(ranges: Range[], start: number, value: number): void {
  const last = ranges.at(-1);
  if (last !== undefined && last.start === start) ranges.pop();
  if (ranges.at(-1)?.value === value) return;
  ranges.push({start, value});
}
