import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import type * as entry from '../../../src/model/entry/index.js';

function getRecord(upstreamId: string): entry.UpstreamRecord {
  return {
    upstreamId,
    serviceId: 'desk',
    host: '127.0.0.1',
    port: 9,
    region: 'amman',
    failureDomain: 'amman-a',
    slotCount: 3,
    state: 'ready',
    coldForMs: 0,
    startedAtMs: 1,
  };
}

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
  const both = decisions.mergeUpstreams(
    new Map(),
    [getRecord('a'), getRecord('b')],
    undefined,
    0,
  );

  void test.it(
    'drops an entry that is missing while the table was there',
    () => {
      const next = decisions.mergeUpstreams(
        both,
        [getRecord('a')],
        undefined,
        9,
      );
      earl.expect([...next.keys()]).toEqual(['a']);
    },
  );

  void test.it(
    'keeps entries that lapsed in an outage for a while after it',
    () => {
      const regainedAtMs = 1000;
      const early = decisions.mergeUpstreams(
        both,
        [getRecord('a')],
        regainedAtMs,
        regainedAtMs + 1900,
      );
      earl.expect([...early.keys()]).toEqual(['a', 'b']);
      const late = decisions.mergeUpstreams(
        early,
        [getRecord('a')],
        regainedAtMs,
        regainedAtMs + decisions.RETURN_TERM_MS,
      );
      earl.expect([...late.keys()]).toEqual(['a']);
    },
  );
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
