import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as records from '../../support/records/index.js';

function getConfiguration(version: number): entry.EntryConfiguration {
  return {
    version,
    routes: [],
    services: [],
    organisations: [],
    hasOrganisations: false,
    callerLimits: {maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
}

void test.describe('mergeUpstreams', () => {
  const applyRead = (
    state: decisions.DiscoveryState,
    ids: readonly string[],
    nowMs: number,
    outageEndedAtMs?: number,
  ) =>
    decisions.mergeUpstreams(
      state,
      {
        records: ids.map(id => records.getUpstreamRecord(id)),
        isFirstAfterOutage: nowMs === outageEndedAtMs,
        outageEndedAtMs: outageEndedAtMs,
      },
      nowMs,
    );
  const getIds = (state: decisions.DiscoveryState) =>
    [...state.upstreams.keys()].sort();
  const withBothIds = applyRead(decisions.INITIAL_DISCOVERY, ['a', 'b'], 0);
  const outageEndedAtMs = 1000;

  void test.it(
    'drops an upstream whose record is missing without an outage',
    () => {
      earl.expect(getIds(applyRead(withBothIds, ['a'], 9))).toEqual(['a']);
    },
  );

  void test.it(
    'keeps an upstream whose record expired in an outage for the grace period',
    () => {
      const first = applyRead(
        withBothIds,
        ['a'],
        outageEndedAtMs,
        outageEndedAtMs,
      );
      const withinGrace = applyRead(
        first,
        ['a'],
        outageEndedAtMs + 1900,
        outageEndedAtMs,
      );
      earl.expect(getIds(withinGrace)).toEqual(['a', 'b']);
      const graceEndMs = outageEndedAtMs + decisions.RENEWAL_GRACE_MS;
      earl
        .expect(
          getIds(applyRead(withinGrace, ['a'], graceEndMs, outageEndedAtMs)),
        )
        .toEqual(['a']);
    },
  );

  void test.it(
    'drops an upstream whose record was read after the outage and then removed',
    () => {
      const first = applyRead(
        withBothIds,
        ['a', 'b'],
        outageEndedAtMs,
        outageEndedAtMs,
      );
      const next = applyRead(
        first,
        ['a'],
        outageEndedAtMs + 400,
        outageEndedAtMs,
      );
      earl.expect(getIds(next)).toEqual(['a']);
    },
  );

  void test.it(
    'drops an upstream whose record was written again after the outage and then removed',
    () => {
      const first = applyRead(
        withBothIds,
        ['a'],
        outageEndedAtMs,
        outageEndedAtMs,
      );
      const renewed = applyRead(
        first,
        ['a', 'b'],
        outageEndedAtMs + 400,
        outageEndedAtMs,
      );
      const next = applyRead(
        renewed,
        ['a'],
        outageEndedAtMs + 800,
        outageEndedAtMs,
      );
      earl.expect(getIds(next)).toEqual(['a']);
    },
  );
});

const HEARTBEAT_MS = 1500;

void test.describe('StoreReach', () => {
  void test.it(
    'ends an outage at the first answer of the store to any call',
    () => {
      // After a network partition, the change feed answers first; then a read fails that was sent before that answer.
      let reachability = decisions.applyReadSuccess(0);
      reachability = decisions.applyReadFailure(reachability, 1200);
      reachability = decisions.applyReadFailure(reachability, 2300);
      reachability = decisions.applyStoreAnswer(reachability, 13_110);
      reachability = decisions.applyReadFailure(reachability, 12_900);
      earl
        .expect(
          decisions.getOutageEndMs(reachability, 13_900, HEARTBEAT_MS, 13_917),
        )
        .toEqual(13_110);
    },
  );

  void test.it(
    'starts a new outage at a read that fails after the store answered again',
    () => {
      let reachability: decisions.StoreReachability = {
        kind: 'recovering',
        lastReadSentAtMs: 0,
        recoveredAtMs: 1000,
      };
      reachability = decisions.applyReadFailure(reachability, 1100);
      earl
        .expect(
          decisions.getOutageEndMs(reachability, 4900, HEARTBEAT_MS, 5000),
        )
        .toEqual(5000);
      const reachable = decisions.applyReadSuccess(0);
      earl
        .expect(decisions.getOutageEndMs(reachable, 4900, HEARTBEAT_MS, 5000))
        .toEqual(undefined);
    },
  );

  void test.it(
    'reports no outage that was too short for a record to expire',
    () => {
      const unreachable = decisions.applyReadFailure(
        decisions.applyReadSuccess(0),
        1100,
      );
      const getEndMs = (sentAtMs: number) =>
        decisions.getOutageEndMs(
          unreachable,
          sentAtMs,
          HEARTBEAT_MS,
          sentAtMs + 10,
        );
      earl.expect(getEndMs(2999)).toEqual(undefined);
      earl.expect(getEndMs(3000)).toEqual(3010);
      const recovering = decisions.applyStoreAnswer(unreachable, 1300);
      earl
        .expect(decisions.getOutageEndMs(recovering, 1400, HEARTBEAT_MS, 1410))
        .toEqual(undefined);
    },
  );
});

void test.describe('applyOperatorChanges', () => {
  void test.it(
    'ignores an older configuration and keeps evacuations until they are restored',
    () => {
      const first = decisions.applyOperatorChanges(
        undefined,
        5,
        [
          {kind: 'configuration', configuration: getConfiguration(7)},
          {kind: 'evacuated', failureDomain: 'amman-a'},
        ],
        true,
      );
      const second = decisions.applyOperatorChanges(
        first,
        6,
        [{kind: 'configuration', configuration: getConfiguration(6)}],
        false,
      );
      earl.expect(second?.configuration.version).toEqual(7);
      earl.expect(second?.evacuatedDomains).toEqual(['amman-a']);
      const third = decisions.applyOperatorChanges(
        second,
        7,
        [{kind: 'restored', failureDomain: 'amman-a'}],
        false,
      );
      earl.expect(third?.evacuatedDomains).toEqual([]);
    },
  );

  void test.it('replaces all rows with those of a snapshot', () => {
    const first = decisions.applyOperatorChanges(
      undefined,
      5,
      [
        {kind: 'configuration', configuration: getConfiguration(7)},
        {kind: 'evacuated', failureDomain: 'amman-a'},
      ],
      true,
    );
    const next = decisions.applyOperatorChanges(
      first,
      9,
      [{kind: 'configuration', configuration: getConfiguration(8)}],
      true,
    );
    earl.expect(next?.evacuatedDomains).toEqual([]);
    earl.expect(next?.configuration.version).toEqual(8);
  });

  void test.it('returns undefined before the first configuration', () => {
    const none = decisions.applyOperatorChanges(undefined, 1, [], true);
    earl.expect(none).toEqual(undefined);
  });
});

void test.describe('chooseNewerRows', () => {
  const getRows = (tableVersion: number, version: number) => ({
    tableVersion,
    configuration: getConfiguration(version),
    evacuatedDomains: [],
  });

  void test.it(
    'keeps the rows when the peer has a newer table but an older configuration',
    () => {
      const state = getRows(99, 5);
      earl
        .expect(decisions.chooseNewerRows(state, getRows(100, 4)))
        .toEqual(state);
    },
  );

  void test.it(
    'chooses the rows whose table and configuration are both newer',
    () => {
      const peerRows = getRows(100, 6);
      earl
        .expect(decisions.chooseNewerRows(getRows(99, 5), peerRows))
        .toEqual(peerRows);
      earl
        .expect(decisions.chooseNewerRows(undefined, peerRows))
        .toEqual(peerRows);
    },
  );
});
