import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';
import * as codecs from '../src/codecs/index.js';
import type * as deploymentPlans from '../standins/deployment/DeploymentPlan.js';

const EXAMPLES_FOLDER = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  '../../examples',
);

/** Settings of the stand-in processes that are not in the files of an example. */
export interface ExampleOptions {
  /** One-way network delay in milliseconds between VMs of different regions. */
  readonly regionDelayMs: number;

  /** Service time in milliseconds of a request at an upstream. */
  readonly serviceMs: number;
}

/** Reads the settings and the configuration of an example; returns the plan of a deployment from them. */
export function readExample(
  name: string,
  options: ExampleOptions,
): deploymentPlans.DeploymentPlan {
  const folder = path.join(EXAMPLES_FOLDER, name);
  const readText = (file: string) =>
    fs.readFileSync(path.join(folder, file), 'utf8');
  const settings = fs
    .readdirSync(folder)
    .filter(file => file.endsWith('.toml'))
    .sort()
    .map(file => codecs.parseSettings(readText(file)));
  const document = codecs.parseJsonOrThrow(
    codecs.documentSchema,
    readText('configuration.json'),
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
