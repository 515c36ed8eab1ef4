import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';
import type * as model from '../../../src/model/index.js';

const SEED = 20261204;
const ADDRESS_RANGE = 2 ** 32;

function createVm(index: number): model.VmRecord {
  const region = `region-${index % 3}`;
  return {
    vmId: `vm-${index}`,
    processId: `process-${index}`,
    region,
    failureDomain: `${region}-a`,
    callersAddress: `10.0.0.${index}:80`,
    peersAddress: `10.0.0.${index}:81`,
  };
}

const entryArbitrary = fastCheck
  .record({
    address: fastCheck.nat({max: 0xffffffff}),
    prefixBits: fastCheck.integer({min: 1, max: 32}),
    value: fastCheck.nat({max: 100}),
  })
  .map(({address, prefixBits, value}) => {
    const size = 2 ** (32 - prefixBits);
    const firstAddress = Math.floor(address / size) * size;
    return {firstAddress, prefixBits, value};
  });

/** Finds the value of the most specific block by comparing the address with each block. */
function findByLinearScan(
  entries: readonly decisions.BlockEntry[],
  address: number,
): number {
  let best: decisions.BlockEntry | undefined;
  for (const entry of entries) {
    const end = entry.firstAddress + 2 ** (32 - entry.prefixBits);
    if (address < entry.firstAddress || address >= end) continue;
    if (best === undefined || entry.prefixBits >= best.prefixBits) best = entry;
  }
  return best?.value ?? decisions.NO_BLOCK;
}

void test.describe('BlockTable', () => {
  void test.it('finds the most specific block of any address', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(entryArbitrary, {maxLength: 30}),
        fastCheck.array(fastCheck.nat({max: ADDRESS_RANGE - 1})),
        (entries, addresses) => {
          const table = new decisions.BlockTable(entries);
          const boundaryAddresses = entries.flatMap(entry => [
            entry.firstAddress,
            entry.firstAddress + 2 ** (32 - entry.prefixBits) - 1,
            Math.max(0, entry.firstAddress - 1),
          ]);
          for (const address of [...addresses, ...boundaryAddresses])
            if (table.get(address) !== findByLinearScan(entries, address))
              return false;
          return true;
        },
      ),
      {seed: SEED, numRuns: 1000},
    );
  });
});

void test.describe('a planned shift', () => {
  void test.it(
    'never moves more callers than its cap, including callers with cached answers',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.double({min: 0, max: 1, noNaN: true}),
          fastCheck.integer({min: 0, max: 100_000}),
          fastCheck.integer({min: 1, max: 100_000}),
          (capFraction, startAtMs, durationMs) => {
            const endAtMs = startAtMs + durationMs;
            const shift = {
              fromRegion: 'a',
              toRegion: 'b',
              startAtMs,
              endAtMs,
              capFraction,
            };
            const positions = Array.from({length: 200}, (_, n) => n / 200);
            for (let nowMs = 0; nowMs < 220_000; nowMs += 20_000) {
              const moved = positions.filter(position => {
                const resolvedAtMs =
                  nowMs - position * decisions.STEERING_ANSWER_TTL_MS;
                return (
                  decisions.getShiftedRegion(
                    [shift],
                    'a',
                    position,
                    resolvedAtMs,
                  ) === 'b'
                );
              });
              if (moved.length / 200 > capFraction + 1 / 200) return false;
            }
            return true;
          },
        ),
        {seed: SEED, numRuns: 300},
      );
    },
  );
});

void test.describe('decideSteering', () => {
  const vms = new decisions.VmIndex(
    Array.from({length: 7}, (_, index) => createVm(index)),
  );

  void test.it(
    'lists the home of the organisation first, then the VMs of the region',
    () => {
      const {choices} = decisions.decideSteering(
        {vms, region: 'region-1', homeProcessId: 'process-5', position: 0.4},
        1000,
      );
      earl.expect(choices[0].vmId).toEqual('vm-5');
      earl.expect(choices[1].region).toEqual('region-1');
      earl.expect(choices.length).toEqual(7);
    },
  );

  void test.it('spreads callers evenly over the VMs of their region', () => {
    const counts = new Map<string, number>();
    for (let caller = 0; caller < 3000; caller += 1) {
      const position = decisions.getCallerPosition(
        `10.0.${caller >> 8}.${caller & 255}`,
      );
      const {choices} = decisions.decideSteering(
        {vms, region: 'region-0', homeProcessId: '', position},
        0,
      );
      const {vmId} = choices[0];
      counts.set(vmId, (counts.get(vmId) ?? 0) + 1);
    }
    earl.expect(counts.size).toEqual(3);
    for (const count of counts.values())
      earl.expect(Math.abs(count - 1000)).toBeLessThan(150);
  });
});
