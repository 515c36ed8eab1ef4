/** The fraction of requests served in time, per second, for one scenario (title) and policy (label). */
export interface Series {
  readonly title: string;
  readonly label: string;
  readonly values: readonly number[];
}

const PANEL_WIDTH_PX = 640;
const PANEL_HEIGHT_PX = 160;
const PANEL_GAP_PX = 40;
const COLOURS: readonly string[] = ['#1b6', '#27c', '#c52', '#999'];

/** Renders an SVG image with one panel per title and one line per label. */
export function renderSvg(series: readonly Series[]): string {
  const titles = [...new Set(series.map(entry => entry.title))];
  const panels = titles.map((title, index) => {
    const topPx = index * (PANEL_HEIGHT_PX + PANEL_GAP_PX) + PANEL_GAP_PX;
    const lines = series
      .filter(entry => entry.title === title)
      .map((entry, seriesIndex) =>
        getPolyline(entry, COLOURS[seriesIndex % COLOURS.length], topPx),
      );
    return `<text x="4" y="${topPx - 8}">${title}</text><rect x="0" y="${topPx}" width="${PANEL_WIDTH_PX}" height="${PANEL_HEIGHT_PX}" fill="none" stroke="#ccc"/>${lines.join('')}`;
  });
  const heightPx =
    titles.length * (PANEL_HEIGHT_PX + PANEL_GAP_PX) + PANEL_GAP_PX;
  const legend = series
    .filter(entry => entry.title === titles[0])
    .map(
      (entry, seriesIndex) =>
        `<text x="${4 + seriesIndex * 120}" y="${heightPx - 10}" fill="${COLOURS[seriesIndex % COLOURS.length]}">${entry.label}</text>`,
    );
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${PANEL_WIDTH_PX}" height="${heightPx}" font-family="sans-serif" font-size="13">${panels.join('')}${legend.join('')}</svg>\n`;
}

function getPolyline(series: Series, colour: string, topPx: number): string {
  const stepPx = PANEL_WIDTH_PX / Math.max(1, series.values.length - 1);
  const points = series.values.map(
    (value, index) =>
      `${(index * stepPx).toFixed(1)},${(topPx + PANEL_HEIGHT_PX * (1 - value)).toFixed(1)}`,
  );
  return `<polyline points="${points.join(' ')}" fill="none" stroke="${colour}"/>`;
}
