import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as codecs from '../src/codecs/index.js';
import type * as deploymentPlans from '../standins/deployment/DeploymentPlan.js';

const EXAMPLES = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../examples',
);

/** What stand-ins need beyond the files of an example. */
export interface ExampleOptions {
  /** One-way delay in milliseconds between regions. */
  readonly regionDelayMs: number;

  /** Time in milliseconds that an upstream takes for a request. */
  readonly serviceMs: number;
}

/** Gets the plan of a deployment from its example's settings and configuration. */
export function readExample(
  name: string,
  options: ExampleOptions,
): deploymentPlans.DeploymentPlan {
  const folder = path.join(EXAMPLES, name);
  const read = (file: string) =>
    fs.readFileSync(path.join(folder, file), 'utf8');
  const settings = fs
    .readdirSync(folder)
    .filter(file => file.endsWith('.toml'))
    .sort()
    .map(file => codecs.parseSettings(read(file)));
  const document = codecs.parseJsonOrThrow(
    codecs.documentSchema,
    read('configuration.json'),
    'invalidConfiguration',
  );
  const upstreams = Object.entries(document.upstreams).map(
    ([upstreamId, upstream]) => ({
      upstreamId,
      serviceId: upstream.serviceId,
      region: upstream.region,
      failureDomain: upstream.failureDomain,
      slotCount: upstream.slotCount,
      serviceMs: options.serviceMs,
    }),
  );
  return {
    vms: settings.map(({vm}) => vm),
    upstreams,
    slotCount: settings[0].fleet.slotCount,
    regionDelayMs: options.regionDelayMs,
    organisations: document.organisations,
    routes: document.routes,
    clientBlocks: document.clientBlocks,
  };
}
