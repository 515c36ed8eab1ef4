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
  const read = (
    known: decisions.Discovery,
    ids: readonly string[],
    nowMs: number,
    regainedAtMs?: number,
  ) =>
    decisions.mergeUpstreams(
      known,
      {
        records: ids.map(id => records.getUpstreamRecord(id)),
        isFirstAfterOutage: nowMs === regainedAtMs,
        regainedAtMs,
      },
      nowMs,
    );
  const getIds = (known: decisions.Discovery) =>
    [...known.upstreams.keys()].sort();
  const both = read(decisions.NOTHING_DISCOVERED, ['a', 'b'], 0);
  const regainedAtMs = 1000;

  void test.it(
    'drops an entry that is missing while the table was there',
    () => {
      earl.expect(getIds(read(both, ['a'], 9))).toEqual(['a']);
    },
  );

  void test.it(
    'keeps entries that lapsed in an outage for a while after it',
    () => {
      const first = read(both, ['a'], regainedAtMs, regainedAtMs);
      const early = read(first, ['a'], regainedAtMs + 1900, regainedAtMs);
      earl.expect(getIds(early)).toEqual(['a', 'b']);
      const lateMs = regainedAtMs + decisions.RETURN_TERM_MS;
      earl
        .expect(getIds(read(early, ['a'], lateMs, regainedAtMs)))
        .toEqual(['a']);
    },
  );

  void test.it(
    'drops an entry that was there when the outage ended and leaves then',
    () => {
      const first = read(both, ['a', 'b'], regainedAtMs, regainedAtMs);
      const next = read(first, ['a'], regainedAtMs + 400, regainedAtMs);
      earl.expect(getIds(next)).toEqual(['a']);
    },
  );

  void test.it('drops an entry that came back and leaves then', () => {
    const first = read(both, ['a'], regainedAtMs, regainedAtMs);
    const back = read(first, ['a', 'b'], regainedAtMs + 400, regainedAtMs);
    const next = read(back, ['a'], regainedAtMs + 800, regainedAtMs);
    earl.expect(getIds(next)).toEqual(['a']);
  });
});

const HEARTBEAT_MS = 1500;

void test.describe('StoreReach', () => {
  void test.it(
    'dates the end of an outage by the first answer to any call',
    () => {
      // A VM was cut off: the feed answered first, a reading that was sent before failed after it.
      let reach = decisions.noteReading(0);
      reach = decisions.noteReadingFailed(reach, 1200);
      reach = decisions.noteReadingFailed(reach, 2300);
      reach = decisions.noteStoreAnswered(reach, 13_110);
      reach = decisions.noteReadingFailed(reach, 12_900);
      earl
        .expect(decisions.getOutageEndMs(reach, 13_900, HEARTBEAT_MS, 13_917))
        .toEqual(13_110);
    },
  );

  void test.it(
    'takes a reading that fails after an answer for a new outage',
    () => {
      let reach: decisions.StoreReach = {
        kind: 'returning',
        readAtMs: 0,
        sinceMs: 1000,
      };
      reach = decisions.noteReadingFailed(reach, 1100);
      earl
        .expect(decisions.getOutageEndMs(reach, 4900, HEARTBEAT_MS, 5000))
        .toEqual(5000);
      const reached = decisions.noteReading(0);
      earl
        .expect(decisions.getOutageEndMs(reached, 4900, HEARTBEAT_MS, 5000))
        .toEqual(undefined);
    },
  );

  void test.it('finds no outage where no entry can have lapsed', () => {
    const away = decisions.noteReadingFailed(decisions.noteReading(0), 1100);
    const getEndMs = (sentAtMs: number) =>
      decisions.getOutageEndMs(away, sentAtMs, HEARTBEAT_MS, sentAtMs + 10);
    earl.expect(getEndMs(2999)).toEqual(undefined);
    earl.expect(getEndMs(3000)).toEqual(3010);
    const returning = decisions.noteStoreAnswered(away, 1300);
    earl
      .expect(decisions.getOutageEndMs(returning, 1400, HEARTBEAT_MS, 1410))
      .toEqual(undefined);
  });
});

void test.describe('applyOperatorChanges', () => {
  void test.it(
    'applies nothing older and keeps evacuations across changes',
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

  void test.it('takes a snapshot for all that there is', () => {
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

  void test.it('gives nothing before the first configuration', () => {
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
    'keeps a configuration that a peer has in an older version under a newer table',
    () => {
      const known = getRows(99, 5);
      earl
        .expect(decisions.chooseNewerRows(known, getRows(100, 4)))
        .toEqual(known);
    },
  );

  void test.it('takes what is newer in both', () => {
    const offered = getRows(100, 6);
    earl
      .expect(decisions.chooseNewerRows(getRows(99, 5), offered))
      .toEqual(offered);
    earl.expect(decisions.chooseNewerRows(undefined, offered)).toEqual(offered);
  });
});
