import * as decisions from '../src/decisions/index.js';

/** The target number of address blocks, and of distinct values that the blocks map to. */
const BLOCK_COUNT = 970_000;
const BLOCK_VALUE_COUNT = 3700;
const ADDRESS_RANGE = 2 ** 32;
const LOOK_UP_COUNT = 2_000_000;
const POSITION_COUNT = 20_000;

/** The target rate of look-ups, for which the used fraction of a processor core is printed. */
const TARGET_LOOK_UPS_PER_SECOND = 2875;

const BYTES_PER_MEBIBYTE = 1_048_576;
const NANOSECONDS_PER_MS = 1_000_000;
const MS_PER_SECOND = 1000;

/** Creates disjoint address blocks, spread evenly over the IPv4 address space. */
export function createBlocks(
  count: number,
  valueCount: number,
): readonly decisions.BlockEntry[] {
  const blockStride = Math.floor(ADDRESS_RANGE / count / 256) * 256;
  return Array.from({length: count}, (_, index) => ({
    firstAddress: index * blockStride,
    prefixBits: 24,
    value: index % valueCount,
  }));
}

/** Measures the processor time in milliseconds that an action uses. */
export function measureCpuMs(action: () => void): number {
  const usageBefore = process.cpuUsage();
  action();
  const usage = process.cpuUsage(usageBefore);
  return (usage.user + usage.system) / 1000;
}

/** Measures and prints the cost of address look-ups in a table of `BLOCK_COUNT` blocks, without encoding or network. */
export function benchLookUps(): void {
  const rssBeforeBytes = process.memoryUsage().rss;
  const table = new decisions.BlockTable(
    createBlocks(BLOCK_COUNT, BLOCK_VALUE_COUNT),
  );
  const tableBytes = table.getRangeCount() * 6;
  let checksum = 0;
  const lookUpMs = measureCpuMs(() => {
    for (let index = 0; index < LOOK_UP_COUNT; index += 1)
      checksum += table.get((index * 2_654_435_761) % ADDRESS_RANGE);
  });
  const perLookUpNs = (lookUpMs * NANOSECONDS_PER_MS) / LOOK_UP_COUNT;
  const positionMs = measureCpuMs(() => {
    for (let index = 0; index < POSITION_COUNT; index += 1)
      decisions.getCallerPosition(`10.0.${index % 256}.${index % 251}`);
  });
  const perPositionNs = (positionMs * NANOSECONDS_PER_MS) / POSITION_COUNT;
  const coreFraction =
    (TARGET_LOOK_UPS_PER_SECOND * (perLookUpNs + perPositionNs)) /
    (NANOSECONDS_PER_MS * MS_PER_SECOND);
  process.stdout.write(
    `look-up: blocks=${BLOCK_COUNT} table=${(tableBytes / BYTES_PER_MEBIBYTE).toFixed(1)}MiB rssGrowth=${((process.memoryUsage().rss - rssBeforeBytes) / BYTES_PER_MEBIBYTE).toFixed(0)}MiB lookUp=${perLookUpNs.toFixed(0)}ns position=${perPositionNs.toFixed(0)}ns coreAtTarget=${(coreFraction * 100).toFixed(2)}% checksum=${checksum}\n`,
  );
}
