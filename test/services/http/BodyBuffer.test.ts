import * as test from 'node:test';
import * as earl from 'earl';
import * as fc from 'fast-check';
import * as http from '../../../src/services/http/index.js';

const PIECE_COUNT = 500_000;

/** What the objects of all pieces would take at the least is a hundred times as much. */
const MAX_HEAP_GROWTH_BYTES = 8_000_000;

function addAll(pieces: readonly Buffer[]): http.BodyBuffer {
  const buffer = new http.BodyBuffer('answer');
  for (const piece of pieces) buffer.add(piece);
  return buffer;
}

void test.describe('BodyBuffer', () => {
  void test.it('returns the bytes of all pieces in their order', () => {
    const size = fc.oneof(
      fc.integer({min: 1, max: 20}),
      fc.integer({min: 4000, max: 70_000}),
    );
    fc.assert(
      fc.property(fc.array(size, {maxLength: 30}), sizes => {
        const pieces = sizes.map((bytes, index) => Buffer.alloc(bytes, index));
        const buffer = addAll(pieces);
        const expected = Buffer.concat(pieces);
        earl.expect(buffer.sizeBytes).toEqual(expected.length);
        earl.expect(buffer.heldBytes >= expected.length).toEqual(true);
        earl.expect(buffer.toBytes().equals(expected)).toEqual(true);
      }),
      {seed: 7},
    );
  });

  // Guards against a heap that is exhausted by the objects of a body in pieces of one byte.
  void test.it(
    'holds memory by the size of the body, not by its pieces',
    () => {
      const read = Buffer.alloc(65_536, 'z');
      const buffer = new http.BodyBuffer('answer');
      const heapBefore = process.memoryUsage().heapUsed;
      for (let index = 0; index < PIECE_COUNT; index++)
        buffer.add(
          read.subarray(index % read.length, (index % read.length) + 1),
        );
      const heapGrowth = process.memoryUsage().heapUsed - heapBefore;
      earl.expect(heapGrowth).toBeLessThan(MAX_HEAP_GROWTH_BYTES);
      earl.expect(buffer.heldBytes).toBeLessThan(2 * PIECE_COUNT + read.length);
      earl.expect(buffer.toBytes().length).toEqual(PIECE_COUNT);
    },
  );

  void test.it('counts the whole buffer that a kept piece is a view of', () => {
    const read = Buffer.allocUnsafeSlow(65_536);
    earl.expect(addAll([read.subarray(0, 1)]).heldBytes).toEqual(read.length);
  });
});
