import * as test from 'node:test';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';

/** A body whose size the test sets; a dropped body leaves the memory as a real one does. */
class FakeBody implements http.HeldBody {
  heldBytes = 0;
  isDropped = false;
  private readonly memory: http.BodyMemory;

  constructor(memory: http.BodyMemory) {
    this.memory = memory;
  }

  grow(bytes: number): void {
    this.heldBytes += bytes;
    this.memory.update(this);
  }

  drop(): void {
    this.isDropped = true;
    this.memory.remove(this);
  }
}

void test.describe('BodyMemory', () => {
  void test.it('drops the largest body that is being received', () => {
    const memory = new http.BodyMemory();
    const [large, small] = [new FakeBody(memory), new FakeBody(memory)];
    large.grow(http.MAX_HELD_BYTES - 1000);
    small.grow(1001);
    earl.expect([large.isDropped, small.isDropped]).toEqual([true, false]);
    small.grow(http.MAX_HELD_BYTES - 1001);
    earl.expect(small.isDropped).toEqual(false);
  });

  void test.it('counts complete bodies without dropping them', () => {
    const memory = new http.BodyMemory();
    const [complete, late] = [new FakeBody(memory), new FakeBody(memory)];
    complete.grow(http.MAX_HELD_BYTES - 1000);
    memory.setComplete(complete);
    late.grow(1001);
    earl.expect([complete.isDropped, late.isDropped]).toEqual([false, true]);
    memory.remove(complete);
    const next = new FakeBody(memory);
    next.grow(http.MAX_HELD_BYTES);
    earl.expect(next.isDropped).toEqual(false);
  });
});
