import * as statistics from 'simple-statistics';

/** One measured point. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Prints a line through the points and what it comes to at the target's size. */
export function printFit(
  role: string,
  unit: string,
  sizeName: string,
  points: readonly Point[],
  targetSize: number,
): void {
  const pairs = points.map(({size, value}) => [size, value]);
  const line = statistics.linearRegression(pairs);
  const getValue = statistics.linearRegressionLine(line);
  const fit = statistics.rSquared(pairs, getValue);
  const residual = Math.max(
    ...points.map(({size, value}) => Math.abs(value - getValue(size))),
  );
  const measured = points
    .map(({size, value}) => `${size}:${value.toPrecision(3)}`)
    .join(' ');
  process.stdout.write(
    `${role}: ${measured} ${unit}; slope=${line.m.toPrecision(3)} a ${sizeName}, fixed=${line.b.toPrecision(3)}, R2=${fit.toFixed(3)}, worst residual=${residual.toPrecision(2)}; at ${targetSize}: ${getValue(targetSize).toPrecision(3)} ${unit}\n`,
  );
}
