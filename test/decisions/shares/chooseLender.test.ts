import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as records from '../../support/records/index.js';

const VM_COUNT = 30;
const ORGANISATION_COUNT = 75;

function getMembers(
  getProcessorCount: (index: number) => number | undefined,
): readonly entry.MemberRecord[] {
  return Array.from({length: VM_COUNT}, (_, index) => {
    const processorCount = getProcessorCount(index);
    return records.getMemberRecord(
      `vm-${index}`,
      processorCount === undefined
        ? {}
        : {
            capacity: {
              processorCount,
              linkMbps: 10,
              memoryMb: 202,
              isBusy: false,
            },
          },
    );
  });
}

function getLenders(
  members: readonly entry.MemberRecord[],
): ReadonlySet<string | undefined> {
  return new Set(
    Array.from(
      {length: ORGANISATION_COUNT},
      (_, index) => decisions.chooseLender(members, `org-${index}`)?.vmId,
    ),
  );
}

void test.describe('chooseLender', () => {
  // Guards against refusals far below the limit because a slow VM lends.
  void test.it('leaves out VMs with few processors', () => {
    const lenders = getLenders(getMembers(index => (index < 4 ? 1.35 : 0.189)));
    earl.expect([...lenders].sort()).toEqual(['vm-0', 'vm-1', 'vm-2', 'vm-3']);
  });

  void test.it(
    'chooses as before where VMs differ little or are unknown',
    () => {
      const unknown = getMembers(() => undefined);
      const mixed = getMembers(index => (index < 4 ? 1.35 : 0.62));
      earl.expect(getLenders(mixed)).toEqual(getLenders(unknown));
      earl.expect(getLenders(mixed).size > 20).toEqual(true);
    },
  );

  void test.it('has no lender without members', () => {
    earl.expect(decisions.chooseLender([], 'org-0')).toEqual(undefined);
  });
});
