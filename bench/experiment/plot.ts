/** The part of requests in time, second by second, for one policy. */
export interface Series {
  readonly title: string;
  readonly label: string;
  readonly values: readonly number[];
}

const WIDTH_PX = 640;
const HEIGHT_PX = 160;
const GAP_PX = 40;
const COLOURS: readonly string[] = ['#1b6', '#27c', '#c52', '#999'];

/** Gets a picture with one panel for each title. */
export function getSvg(series: readonly Series[]): string {
  const titles = [...new Set(series.map(one => one.title))];
  const panels = titles.map((title, index) => {
    const top = index * (HEIGHT_PX + GAP_PX) + GAP_PX;
    const lines = series
      .filter(one => one.title === title)
      .map((one, place) => getLine(one, COLOURS[place % COLOURS.length], top));
    return `<text x="4" y="${top - 8}">${title}</text><rect x="0" y="${top}" width="${WIDTH_PX}" height="${HEIGHT_PX}" fill="none" stroke="#ccc"/>${lines.join('')}`;
  });
  const height = titles.length * (HEIGHT_PX + GAP_PX) + GAP_PX;
  const legend = series
    .filter(one => one.title === titles[0])
    .map(
      (one, place) =>
        `<text x="${4 + place * 120}" y="${height - 10}" fill="${COLOURS[place % COLOURS.length]}">${one.label}</text>`,
    );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${height}" font-family="sans-serif" font-size="13">${panels.join('')}${legend.join('')}</svg>\n`;
}

function getLine(series: Series, colour: string, top: number): string {
  const step = WIDTH_PX / Math.max(1, series.values.length - 1);
  const points = series.values.map(
    (value, index) =>
      `${(index * step).toFixed(1)},${(top + HEIGHT_PX * (1 - value)).toFixed(1)}`,
  );
  return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}"/>`;
}
