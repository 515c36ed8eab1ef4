import * as codecs from '../../src/codecs/index.js';
import * as decisions from '../../src/decisions/index.js';
import type * as model from '../../src/model/index.js';
import * as lookUps from '../lookUps.js';
import * as fits from './fit.js';
import * as fleets from './fleet.js';

const MICROSECONDS_PER_MS = 1000;
const REGION_COUNT = 33;

/** The sizes of the target fleet, to which the measurements are extrapolated. */
const TARGET = {
  blocks: 970_000,
  upstreams: 3700,
  vms: 2400,
  organisations: 10_000,
  keys: 100_000,
  patches: 29_000,
};

/** Measures the processor time in microseconds per action, as the minimum of five rounds of `count` actions. */
function measureMicroseconds(count: number, action: () => void): number {
  let leastMs = Infinity;
  for (let round = 0; round < 5; round += 1) {
    const cpuMs = lookUps.measureCpuMs(() => {
      for (let index = 0; index < count; index += 1) action();
    });
    leastMs = Math.min(leastMs, cpuMs);
  }
  return (leastMs * MICROSECONDS_PER_MS) / count;
}

function createVm(index: number): model.VmRecord {
  return {
    vmId: `vm-${index}`,
    processId: `process-${index}-0123456789abcdef0123456789abcdef`,
    region: `region-${index % REGION_COUNT}`,
    failureDomain: `domain-${index % 119}`,
    callersAddress: `10.0.${index >> 8}.${index & 255}:8080`,
    peersAddress: `10.0.${index >> 8}.${index & 255}:8082`,
  };
}

function createVms(count: number): readonly model.VmRecord[] {
  return Array.from({length: count}, (_, index) => createVm(index));
}

function createDocument(sizes: {
  readonly organisations?: number;
  readonly upstreams?: number;
  readonly keys?: number;
}): model.ConfigurationDocument {
  const createEntries = <T>(count: number, createEntry: (index: number) => T) =>
    Object.fromEntries(
      Array.from({length: count}, (_, index) => [
        `id-${index}`,
        createEntry(index),
      ]),
    );
  return {
    organisations: createEntries(sizes.organisations ?? 1, index => ({
      name: `Organisation ${index}`,
      ratePerSecond: 20,
      burstRequests: 20,
    })),
    keys: createEntries(sizes.keys ?? 0, index => ({
      organisationId: 'id-0',
      digestSha256Hex: codecs.getTextDigestHex(String(index)),
      status: 'granted' as const,
    })),
    routes: {},
    upstreams: createEntries(sizes.upstreams ?? 0, index => ({
      serviceId: 'service',
      host: `10.1.${index >> 8}.${index & 255}`,
      port: 8080,
      region: `region-${index % REGION_COUNT}`,
      failureDomain: `domain-${index % 119}`,
      slotCount: 7,
      status: 'active' as const,
    })),
    shifts: {},
    clientBlocks: {},
  };
}

function measureLookUps(): void {
  const lookUpTimes: fits.Point[] = [];
  const buildTimes: fits.Point[] = [];
  const tableSizes: fits.Point[] = [];
  for (const size of [10_000, 100_000, 400_000, 970_000]) {
    const blocks = lookUps.createBlocks(size, TARGET.upstreams);
    let table = new decisions.BlockTable([]);
    const buildMs = lookUps.measureCpuMs(() => {
      table = new decisions.BlockTable(blocks);
    });
    let address = 1;
    const value = measureMicroseconds(200_000, () => {
      address = (Math.imul(address, 1_664_525) + 1_013_904_223) >>> 0;
      table.get(address);
    });
    lookUpTimes.push({size, value});
    buildTimes.push({size, value: buildMs});
    tableSizes.push({size, value: (table.getRangeCount() * 6) / 1e6});
  }
  fits.printFit('look-up, time', 'us', 'block', lookUpTimes, TARGET.blocks);
  fits.printFit('look-up, state', 'MB', 'block', tableSizes, TARGET.blocks);
  fits.printFit('look-up, rebuild', 'ms', 'block', buildTimes, TARGET.blocks);
}

function measureSteering(): void {
  const points = [7, 70, 300, 1000, 2400].map(size => {
    const vms = new decisions.VmIndex(createVms(size));
    const value = measureMicroseconds(2000, () => {
      const position = decisions.getCallerPosition('10.1.2.3');
      decisions.decideSteering(
        {vms, region: 'region-3', homeProcessId: '', position},
        0,
      );
    });
    return {size, value};
  });
  fits.printFit('steering, time', 'us', 'VM', points, TARGET.vms);
  const answers = [7, 70, 300, 1000, 2400].map(size => {
    const answer = decisions.decideSteering(
      {
        vms: new decisions.VmIndex(createVms(size)),
        region: '',
        homeProcessId: '',
        position: 0,
      },
      0,
    );
    return {size, value: JSON.stringify(answer).length / 1000};
  });
  fits.printFit('steering, answer', 'KB', 'VM', answers, TARGET.vms);
}

function measureMembership(): void {
  const status: model.PeerStatus = {
    processId: createVm(1).processId,
    vmId: 'vm-1',
    configurationVersion: 1000,
    fleetVersion: 1000,
    isCounted: true,
    isStopping: false,
  };
  const text = JSON.stringify({kind: 'heartbeat', status});
  const codecMicroseconds = measureMicroseconds(20_000, () =>
    codecs.parseJsonOrThrow(
      codecs.peerRequestSchema,
      text,
      'invalidPeerMessage',
    ),
  );
  process.stdout.write(
    `membership, heartbeat codec: ${codecMicroseconds.toPrecision(3)} us, ${text.length} bytes without HTTP headers\n`,
  );
  const rows = [7, 70, 300, 1000, 2400].map(size => {
    const slots = createVms(size).map((holder): model.Slot => ({
      kind: 'held',
      epoch: 1,
      holder,
    }));
    const row = JSON.stringify({slots, standbys: []});
    const value = measureMicroseconds(5, () =>
      codecs.parseJsonOrThrow(codecs.fleetRowSchema, row, 'invalidRow'),
    );
    return {size, value: value / MICROSECONDS_PER_MS};
  });
  fits.printFit('membership, reading the map', 'ms', 'VM', rows, TARGET.vms);
  const sizes = [7, 70, 300, 1000, 2400].map(size => ({
    size,
    value: JSON.stringify(createVms(size)).length / 1000,
  }));
  fits.printFit('membership, map', 'KB', 'VM', sizes, TARGET.vms);
  const freshnessTimes = [7, 70, 300, 1000, 2400].map(size => {
    const heartbeatAnswers = createVms(size).map((_, slotIndex) => ({
      slotIndex,
      sentAtMs: slotIndex,
    }));
    const state = {tableReadSentAtMs: 0, heartbeatAnswers};
    const quorum = {majority: size / 2, isSelfCounted: true};
    const value = measureMicroseconds(50, () => {
      decisions.getFreshUntilMs(state, quorum);
    });
    return {size, value};
  });
  fits.printFit(
    'membership, freshness',
    'us',
    'slot',
    freshnessTimes,
    TARGET.vms,
  );
}

function measureConfiguration(): void {
  const patch: model.ConfigurationPatch = {
    kind: 'mergePatch',
    patch: {upstreams: {'id-0': {status: 'draining'}}},
  };
  const sizes = [36, 360, 1200, 3700];
  const patchTimes = sizes.map(size => {
    const document = createDocument({upstreams: size});
    const value = measureMicroseconds(5, () => {
      codecs.applyPatch(document, patch);
    });
    return {size, value: value / MICROSECONDS_PER_MS};
  });
  fits.printFit(
    'configuration, applying a patch',
    'ms',
    'upstream',
    patchTimes,
    TARGET.upstreams,
  );
  const readTimes = sizes.map(size => {
    const text = JSON.stringify(createDocument({upstreams: size}));
    const value = measureMicroseconds(5, () => {
      codecs.parseJsonOrThrow(codecs.documentSchema, text, 'invalidRow');
    });
    return {size, value: value / MICROSECONDS_PER_MS};
  });
  fits.printFit(
    'configuration, reading a version',
    'ms',
    'upstream',
    readTimes,
    TARGET.upstreams,
  );
  const documentSizes = sizes.map(size => ({
    size,
    value: JSON.stringify(createDocument({upstreams: size})).length / 1000,
  }));
  fits.printFit(
    'configuration, document',
    'KB',
    'upstream',
    documentSizes,
    TARGET.upstreams,
  );
  const auditRecord = JSON.stringify({
    version: 1,
    baseVersion: 0,
    operatorId: 'operator',
    changedAtMs: 1,
    changeId: '00000000-0000-0000-0000-000000000000',
    patch,
  });
  process.stdout.write(`audit, record: ${auditRecord.length} bytes\n`);
}

function measureKeys(): void {
  const points = [1000, 10_000, 40_000, 100_000].map(size => {
    const document = createDocument({keys: size});
    const value = measureMicroseconds(1, () => {
      const keys = new Map<string, model.Key>();
      for (const key of Object.values(document.keys))
        keys.set(key.digestSha256Hex, key);
    });
    return {size, value: value / MICROSECONDS_PER_MS};
  });
  fits.printFit('keys, rebuilding the index', 'ms', 'key', points, TARGET.keys);
  const digest = measureMicroseconds(20_000, () => {
    codecs.getTextDigestHex('key-of-rustavi-0123456789abcdef');
  });
  process.stdout.write(`keys, digest: ${digest.toPrecision(3)} us a request\n`);
}

function measureLimits(): void {
  const limits = {ratePerSecond: 20, burstTokens: 20, slotCount: 7};
  const share = {
    kind: 'control',
    slots: [{slotIndex: 0, usableFromMs: 0, isUnused: true}],
  } as const;
  const points = [10, 100, 1000, 10_000].map(size => {
    let bucket = decisions.applyBucketEvent(
      decisions.getEmptyBucket(0),
      limits,
      share,
      0,
    ).state;
    let nowMs = 0;
    const value = measureMicroseconds(5, () => {
      for (let index = 0; index < size; index += 1)
        bucket = decisions.applyBucketEvent(
          bucket,
          limits,
          share,
          (nowMs += 1),
        ).state;
    });
    return {size, value: value / MICROSECONDS_PER_MS};
  });
  fits.printFit(
    'limits, one update',
    'ms',
    'organisation',
    points,
    TARGET.organisations,
  );
  const loans = [10, 100, 1000, 10_000].map(size => {
    const entries = Array.from({length: size}, (_, index) => ({
      organisationId: `organisation-${index}`,
      slotIndexes: [3],
      levelTokens: 2.857142857,
    }));
    return {size, value: JSON.stringify(entries).length / 1000};
  });
  fits.printFit(
    'limits, loans in one answer',
    'KB',
    'organisation',
    loans,
    TARGET.organisations,
  );
}

function measureChoice(): void {
  const points = [12, 36, 300, 1200, 3700].map(size => {
    const views = Array.from(
      {length: size},
      (_, index): decisions.UpstreamView => ({
        upstreamId: `upstream-${index}`,
        region: `region-${index % REGION_COUNT}`,
        distance: index % REGION_COUNT === 0 ? 'sameRegion' : 'otherRegion',
        slotCount: 7,
        ownInFlightCount: 1,
        report: {busyCount: 3, ownInFlightCount: 1, requestedAtMs: 0},
        avoidance: {kind: 'none'},
        warmupStartedAtMs: 0,
      }),
    );
    const input = {
      triedUpstreamIds: [],
      processCount: 7,
      randomA: 0.3,
      randomB: 0.7,
    };
    const value = measureMicroseconds(100, () => {
      decisions.chooseUpstream(views, input, 100);
    });
    return {size, value};
  });
  fits.printFit('choice, time', 'us', 'upstream', points, TARGET.upstreams);
}

function measureClaims(): void {
  const points = [1, 5, 10, 20, 40].map(size => {
    const claim: model.Claim = {
      organisationId: 'rustavi',
      keyDigestHex: codecs.getTextDigestHex('a'),
      requestDigestHex: codecs.getTextDigestHex('b'),
      attemptId: '00000000-0000-0000-0000-000000000000',
      processId: '00000000-0000-0000-0000-000000000000',
      peersAddress: '10.0.0.1:8082',
      dispatchDeadlineMs: 1_796_000_000_000,
      state: {kind: 'claimed'},
    };
    const rows = Array.from({length: size}, () => claim);
    return {size, value: JSON.stringify(rows).length / 1000};
  });
  fits.printFit('at-most-once, one transaction', 'KB', 'claim', points, 40);
}

measureLookUps();
measureSteering();
measureMembership();
measureConfiguration();
measureKeys();
measureLimits();
measureChoice();
measureClaims();
await fleets.measureFleets();
