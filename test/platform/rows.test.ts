import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as operatorRows from '../../platform/operatorRows.js';
import * as upstreamRows from '../../platform/upstreamRows.js';
import * as upstreamRowCaches from '../../platform/UpstreamRowCache.js';
import * as kinds from '../support/errors/getErrorKind.js';

const SEED = 20261204;
const REGIONS = new Map([['amman-jabal', 'amman']]);

const ENTRY = {
  Address: '10.128.0.9:8080',
  born: 1700000000000,
  ServerInfo: {
    Service: 'desk',
    Version: 'v1',
    Zone: 'amman-jabal',
    Slots: 9,
  },
  Status: {State: 'ready', Sequence: 4, ColdRemaining: '1.5s'},
};

const CONFIGURATION = {
  Version: 'r7',
  Routes: {
    Columns: [
      'Name',
      'Host',
      'Prefix',
      'Kind',
      'Timeout',
      'TargetLatency',
      'Service',
      'TrafficSplit',
      'Novelty',
    ],
    Rows: [
      ['one', 'a.example', '/a/', 'unsafe', '1200ms', '600ms', 'desk', null, 1],
      [
        'two',
        'a.example',
        '/b/',
        'safe',
        '2s',
        '400ms',
        null,
        [{Service: 'desk', Weight: 90}],
        1,
      ],
    ],
  },
  Services: {
    Columns: ['Name', 'ColdStart', 'ColdPerS'],
    Rows: [['desk', '3s', 11]],
  },
  Limits: {MaxBodyBytes: 10, HeaderTimeout: '3000ms', IdleTimeout: '15s'},
};

function getRow(key: string, value: unknown) {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return {Key: key, Value: Buffer.from(text).toString('base64')};
}

void test.describe('decodeUpstreamRow', () => {
  void test.it('decodes an upstream', () => {
    const record = upstreamRows.decodeUpstreamRow(
      getRow('i-1', ENTRY),
      REGIONS,
    );
    earl.expect(record).toEqual({
      upstreamId: 'i-1',
      serviceId: 'desk',
      host: '10.128.0.9',
      port: 8080,
      region: 'amman',
      failureDomain: 'amman-jabal',
      slotCount: 9,
      state: 'ready',
      revision: 4,
      coldForMs: 1500,
      startedAtMs: 1700000000000,
    });
  });

  void test.it('rejects invalid entries', () => {
    const invalidValues: readonly unknown[] = [
      'no json',
      {},
      {...ENTRY, Address: 'nowhere'},
      {...ENTRY, Status: {State: 'resting'}},
      {...ENTRY, ServerInfo: {...ENTRY.ServerInfo, Slots: '9'}},
      {...ENTRY, ServerInfo: {...ENTRY.ServerInfo, Zone: 'unknown'}},
      {...ENTRY, Status: {...ENTRY.Status, ColdRemaining: 'a while'}},
    ];
    for (const value of invalidValues)
      earl
        .expect(
          kinds.getErrorKind(() =>
            upstreamRows.decodeUpstreamRow(getRow('i-1', value), REGIONS),
          ),
        )
        .toEqual('invalidRow');
  });

  void test.it('throws only a BramleyrunError for arbitrary bytes', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.base64String(), value => {
        try {
          upstreamRows.decodeUpstreamRow({Key: 'i-1', Value: value}, REGIONS);
        } catch (thrown) {
          earl.expect((thrown as Error).name).toEqual('BramleyrunError');
        }
      }),
      {seed: SEED, numRuns: 500},
    );
  });
});

void test.describe('UpstreamRowCache', () => {
  const getStates = (content: upstreamRowCaches.DecodedUpstreamRows) =>
    content.upstreams.map(({upstreamId, state}) => `${upstreamId} ${state}`);

  void test.it('returns the same record for an unchanged row', () => {
    const table = new upstreamRowCaches.UpstreamRowCache(REGIONS);
    const firstContent = table.decode([
      getRow('i-1', ENTRY),
      getRow('i-2', ENTRY),
    ]);
    const draining = {...ENTRY, Status: {State: 'draining'}};
    const secondContent = table.decode([
      getRow('i-1', ENTRY),
      getRow('i-2', draining),
    ]);
    earl
      .expect(secondContent.upstreams[0] === firstContent.upstreams[0])
      .toEqual(true);
    earl
      .expect(getStates(secondContent))
      .toEqual(['i-1 ready', 'i-2 draining']);
  });

  void test.it('drops rows that are removed or unreadable', () => {
    const table = new upstreamRowCaches.UpstreamRowCache(REGIONS);
    table.decode([getRow('i-1', ENTRY), getRow('i-2', ENTRY)]);
    const secondContent = table.decode([getRow('i-2', 'no json')]);
    earl.expect(secondContent.upstreams).toEqual([]);
    earl
      .expect(secondContent.unreadableRows.map(({key}) => key))
      .toEqual(['i-2']);
    const thirdContent = table.decode([
      getRow('i-1', ENTRY),
      getRow('i-2', ENTRY),
    ]);
    earl.expect(getStates(thirdContent)).toEqual(['i-1 ready', 'i-2 ready']);
  });
});

void test.describe('decodeOperatorRow', () => {
  void test.it('decodes a configuration', () => {
    const change = operatorRows.decodeOperatorRow(
      getRow('config', CONFIGURATION),
    );
    if (change?.kind !== 'configuration') throw new Error('no configuration');
    const {configuration} = change;
    earl.expect(configuration.version).toEqual(7);
    const [firstRoute, secondRoute] = configuration.routes;
    earl.expect(firstRoute.execution).toEqual('atMostOnce');
    earl
      .expect(firstRoute.destination)
      .toEqual({kind: 'service', serviceId: 'desk'});
    earl.expect(secondRoute.execution).toEqual('idempotent');
    earl.expect(secondRoute.timeLimitMs).toEqual(2000);
    earl.expect(secondRoute.destination).toEqual({
      kind: 'split',
      parts: [{serviceId: 'desk', weight: 90}],
    });
    earl.expect(configuration.hasOrganisations).toEqual(false);
  });

  void test.it('decodes evacuations and their removal', () => {
    earl
      .expect(operatorRows.decodeOperatorRow(getRow('evacuate/z', {})))
      .toEqual({kind: 'evacuated', failureDomain: 'z'});
    earl
      .expect(
        operatorRows.decodeOperatorRow({Key: 'evacuate/z', Tombstone: true}),
      )
      .toEqual({kind: 'restored', failureDomain: 'z'});
  });

  void test.it(
    'reports an unreadable configuration and ignores unrelated rows',
    () => {
      const unreadableChange = operatorRows.decodeOperatorRow(
        getRow('config', {...CONFIGURATION, Version: 7}),
      );
      earl.expect(unreadableChange?.kind).toEqual('unreadable');
      const unrelatedChange = operatorRows.decodeOperatorRow(
        getRow('else', {}),
      );
      earl.expect(unrelatedChange).toEqual(undefined);
    },
  );
});
