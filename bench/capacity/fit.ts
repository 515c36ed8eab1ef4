import * as statistics from 'simple-statistics';

/** A measured value at one size of the fleet or its data. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** Prints the measured points, a linear regression through them and the value that it predicts for the target size. */
export function printFit(
  role: string,
  unit: string,
  sizeName: string,
  points: readonly Point[],
  targetSize: number,
): void {
  const pairs = points.map(({size, value}) => [size, value]);
  const regression = statistics.linearRegression(pairs);
  const predictValue = statistics.linearRegressionLine(regression);
  const rSquared = statistics.rSquared(pairs, predictValue);
  const residual = Math.max(
    ...points.map(({size, value}) => Math.abs(value - predictValue(size))),
  );
  const pointsText = points
    .map(({size, value}) => `${size}:${value.toPrecision(3)}`)
    .join(' ');
  process.stdout.write(
    `${role}: ${pointsText} ${unit}; slope=${regression.m.toPrecision(3)} a ${sizeName}, fixed=${regression.b.toPrecision(3)}, R2=${rSquared.toFixed(3)}, worst residual=${residual.toPrecision(2)}; at ${targetSize}: ${predictValue(targetSize).toPrecision(3)} ${unit}\n`,
  );
}
