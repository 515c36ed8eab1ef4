import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import type * as entry from '../../../src/model/entry/index.js';

function getMember(vmId: string, processId = 'p'): entry.MemberRecord {
  return {
    vmId,
    processId,
    region: 'x',
    failureDomain: 'x-1',
    callersAddress: `${vmId}:1`,
    peersAddress: `${vmId}:2`,
  };
}

void test.describe('applyMemberChanges', () => {
  const known: decisions.MemberRegistry = {
    tableVersion: 3,
    members: new Map([
      ['a', getMember('a')],
      ['b', getMember('b')],
    ]),
  };

  void test.it('adds, replaces and removes VMs', () => {
    const changed = decisions.applyMemberChanges(known, 7, [
      {kind: 'written', member: getMember('a', 'q')},
      {kind: 'removed', vmId: 'b'},
      {kind: 'written', member: getMember('c')},
    ]);
    earl.expect(changed).toEqual({
      tableVersion: 7,
      members: new Map([
        ['a', getMember('a', 'q')],
        ['c', getMember('c')],
      ]),
    });
    earl.expect(known.members.size).toEqual(2);
  });

  void test.it('applies changes of one VM in their order', () => {
    const restarted = decisions.applyMemberChanges(known, 7, [
      {kind: 'removed', vmId: 'a'},
      {kind: 'written', member: getMember('a', 'q')},
    ]);
    earl.expect(restarted.members.get('a')).toEqual(getMember('a', 'q'));
    const left = decisions.applyMemberChanges(known, 7, [
      {kind: 'written', member: getMember('c')},
      {kind: 'removed', vmId: 'c'},
    ]);
    earl.expect([...left.members.keys()]).toEqual(['a', 'b']);
  });
});
