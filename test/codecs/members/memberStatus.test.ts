import * as zlib from 'node:zlib';
import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as codecs from '../../../src/codecs/index.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as records from '../../support/records/index.js';

const ORGANISATION_COUNT = 140;
const NO_USE: entry.LimitUse = {
  demandPerSecond: 0,
  admittedCount: 0,
  leavingCount: 0,
};

const useArbitrary: fastCheck.Arbitrary<entry.LimitUse> = fastCheck.oneof(
  {weight: 3, arbitrary: fastCheck.constant(NO_USE)},
  {
    weight: 1,
    arbitrary: fastCheck.record(
      {
        demandPerSecond: fastCheck.nat({max: 5000}).map(tenths => tenths / 10),
        admittedCount: fastCheck.nat({max: 500}),
        leavingCount: fastCheck.nat({max: 100}),
      },
      {noNullPrototype: true},
    ),
  },
);

function encode(uses: readonly entry.LimitUse[]): Uint8Array {
  return codecs.encodeMemberStatus({
    ...records.getMemberStatus(records.getMemberRecord('vm-0')),
    limitUseReport: {organisationsDigest: 5, isComplete: true, uses},
  });
}

function inflate(bytes: Uint8Array): string {
  return zlib.inflateSync(bytes).toString('utf8');
}

function decodeStatus(bytes: Uint8Array): entry.MemberStatus | undefined {
  const datagram = codecs.decodeMemberDatagram(bytes);
  return datagram.kind === 'status' ? datagram.status : undefined;
}

void test.describe('memberStatus', () => {
  void test.it('returns the uses that were encoded', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(useArbitrary, {maxLength: ORGANISATION_COUNT}),
        uses => {
          const report = decodeStatus(encode(uses))?.limitUseReport;
          earl.expect(report?.uses).toEqual(uses);
        },
      ),
      {seed: 26},
    );
  });

  // Guards a rolling update: VMs of earlier versions reject statuses with fields that they don't know.
  void test.it('reports resources in a datagram of its own', () => {
    const capacity = {
      processorCount: 0.189,
      linkMbps: 10,
      memoryMb: 202,
      isBusy: true,
    };
    const report = {vmId: 'vm-0', processId: 'p', capacity};
    earl
      .expect(codecs.decodeMemberDatagram(codecs.encodeCapacity(report)))
      .toEqual({kind: 'capacity', report});
    const member = records.getMemberRecord('vm-0', {capacity});
    const plain = records.getMemberRecord('vm-0');
    earl
      .expect(codecs.encodeMemberStatus(records.getMemberStatus(member)))
      .toEqual(codecs.encodeMemberStatus(records.getMemberStatus(plain)));
  });

  void test.it('takes no bytes for organisations without use', () => {
    const idle = Array<entry.LimitUse>(ORGANISATION_COUNT).fill(NO_USE);
    const oneUse = {...NO_USE, admittedCount: 1};
    const few = inflate(encode(idle.slice(0, 100).with(0, oneUse))).length;
    const many = inflate(encode(idle.with(0, oneUse))).length;
    earl.expect(many).toEqual(few);
  });

  void test.it('reads the statuses of VMs of an earlier version', () => {
    const status = JSON.parse(inflate(encode([]))) as {
      params: Record<string, unknown>;
    };
    delete status.params['w'];
    status.params['q'] = [5, true, [2, 0], [1, 0], [15, 0]];
    const decoded = decodeStatus(Buffer.from(JSON.stringify(status)));
    earl
      .expect(decoded?.limitUseReport?.uses)
      .toEqual([
        {admittedCount: 2, leavingCount: 1, demandPerSecond: 1.5},
        NO_USE,
      ]);
  });

  // Guards against uses that would raise or lower a limit's share without end.
  void test.it('rejects uses that are not counts', () => {
    const status = JSON.parse(inflate(encode([]))) as {
      params: Record<string, unknown>;
    };
    for (const values of [[0, -1, 0, 0], [0, '1', 0, 0], [0, null], {}, 7]) {
      status.params['w'] = [5, true, 1, values];
      const bytes = Buffer.from(JSON.stringify(status));
      earl.expect(() => codecs.decodeMemberDatagram(bytes)).toThrow();
    }
  });

  void test.it('rejects a datagram that inflates to too much', () => {
    const bytes = zlib.deflateSync(Buffer.alloc(2_000_000, ' '));
    earl.expect(() => codecs.decodeMemberDatagram(bytes)).toThrow();
  });

  void test.it('reads that an upstream leaves', () => {
    const start = records.getUpstreamRecord('i-1');
    earl
      .expect(codecs.decodeMemberDatagram(codecs.encodeUpstreamLeaving(start)))
      .toEqual({
        kind: 'upstreamLeaving',
        start: {
          upstreamId: 'i-1',
          host: start.host,
          port: start.port,
          startedAtMs: start.startedAtMs,
        },
      });
  });
});
