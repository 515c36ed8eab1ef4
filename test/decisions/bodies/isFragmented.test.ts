import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

void test.describe('isFragmented', () => {
  for (const direction of ['request', 'answer'] as const) {
    void test.it(`allows small ${direction} bodies any pieces`, () => {
      earl.expect(decisions.isFragmented(direction, 8192, 8192)).toEqual(false);
    });

    void test.it(`ends ${direction} bodies in pieces of one byte`, () => {
      earl
        .expect(decisions.isFragmented(direction, 100_000, 100_000))
        .toEqual(true);
    });

    void test.it(`allows large ${direction} bodies in usual pieces`, () => {
      earl
        .expect(decisions.isFragmented(direction, 1_000_000, 64_000_000))
        .toEqual(false);
    });
  }
});
