import * as decisions from '../src/decisions/index.js';

const BLOCK_COUNT = 970_000;
const SITE_COUNT = 3700;
const ADDRESS_RANGE = 2 ** 32;
const LOOK_UPS = 2_000_000;
const STEERINGS = 20_000;
const TARGET_PER_SECOND = 2875;
const MEBIBYTE = 1_048_576;
const NANOSECONDS_PER_MS = 1_000_000;
const MS_PER_SECOND = 1000;

/** Gets disjoint blocks spread over all addresses. */
export function getBlocks(
  count: number,
  siteCount: number,
): readonly decisions.BlockEntry[] {
  const step = Math.floor(ADDRESS_RANGE / count / 256) * 256;
  return Array.from({length: count}, (_, index) => ({
    firstAddress: index * step,
    prefixBits: 24,
    value: index % siteCount,
  }));
}

/** Gets the processor time in milliseconds that an action takes. */
export function getCpuMs(action: () => void): number {
  const before = process.cpuUsage();
  action();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / 1000;
}

/** Look-ups over every block of the target, without any wire form. */
export function benchLookUps(): void {
  const before = process.memoryUsage().rss;
  const table = new decisions.BlockTable(getBlocks(BLOCK_COUNT, SITE_COUNT));
  const tableBytes = table.getRangeCount() * 6;
  let found = 0;
  const lookUpMs = getCpuMs(() => {
    for (let each = 0; each < LOOK_UPS; each += 1)
      found += table.get((each * 2_654_435_761) % ADDRESS_RANGE);
  });
  const perLookUpNs = (lookUpMs * NANOSECONDS_PER_MS) / LOOK_UPS;
  const steerMs = getCpuMs(() => {
    for (let each = 0; each < STEERINGS; each += 1)
      decisions.getPosition(`10.0.${each % 256}.${each % 251}`);
  });
  const perPositionNs = (steerMs * NANOSECONDS_PER_MS) / STEERINGS;
  const share =
    (TARGET_PER_SECOND * (perLookUpNs + perPositionNs)) /
    (NANOSECONDS_PER_MS * MS_PER_SECOND);
  process.stdout.write(
    `look-up: blocks=${BLOCK_COUNT} table=${(tableBytes / MEBIBYTE).toFixed(1)}MiB rssGrowth=${((process.memoryUsage().rss - before) / MEBIBYTE).toFixed(0)}MiB lookUp=${perLookUpNs.toFixed(0)}ns position=${perPositionNs.toFixed(0)}ns coreAtTarget=${(share * 100).toFixed(2)}% checksum=${found}\n`,
  );
}
