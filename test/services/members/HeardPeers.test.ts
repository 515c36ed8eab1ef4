import * as test from 'node:test';
import * as earl from 'earl';
import * as heardPeers from '../../../src/services/members/HeardPeers.js';

function getLines(
  peers: readonly heardPeers.HeardPeer[],
): readonly (readonly [string, object])[] {
  const heard = new heardPeers.HeardPeers();
  for (const peer of peers) heard.add(peer);
  const lines: (readonly [string, object])[] = [];
  heard.log((name, fields) => lines.push([name, fields]));
  heard.log(name => lines.push([name, {}]));
  return lines;
}

void test.describe('HeardPeers', () => {
  void test.it('logs a few peers in a line each, and once only', () => {
    earl
      .expect(
        getLines([
          {vmId: 'vm-1', isLeaving: true},
          {vmId: 'vm-2', isLeaving: false, collectorId: 'vm-9'},
        ]),
      )
      .toEqual([
        ['memberHeard', {peer: 'vm-1', leaving: true}],
        ['memberHeard', {peer: 'vm-2', via: 'vm-9'}],
      ]);
  });

  // Guards against a hundred lines at each start in a large fleet.
  void test.it('logs many peers in one line', () => {
    const peers = Array.from({length: 9}, (_, index) => ({
      vmId: `vm-${index}`,
      isLeaving: false,
    }));
    earl
      .expect(getLines(peers))
      .toEqual([
        ['membersHeard', {count: 9, peers: peers.map(({vmId}) => vmId).join()}],
      ]);
  });
});
