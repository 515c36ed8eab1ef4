import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

void test.describe('getExcessPieceCount', () => {
  for (const direction of ['request', 'answer'] as const) {
    const maxCount = decisions.getMaxExcessPieceCount(direction);

    void test.it(`allows small ${direction} bodies any pieces`, () => {
      const count = decisions.getExcessPieceCount(direction, 8192, 8192);
      earl.expect(count <= maxCount).toEqual(true);
    });

    void test.it(`counts the pieces of one byte of ${direction} bodies`, () => {
      const count = decisions.getExcessPieceCount(direction, 100_000, 100_000);
      earl.expect(count > maxCount).toEqual(true);
    });

    void test.it(`counts no usual pieces of ${direction} bodies`, () => {
      earl
        .expect(decisions.getExcessPieceCount(direction, 1_000_000, 64_000_000))
        .toEqual(0);
    });
  }
});
