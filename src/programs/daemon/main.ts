#!/usr/bin/env node
import * as fs from 'node:fs';
import * as util from 'node:util';
import * as codecs from '../../codecs/index.js';
import * as errors from '../../model/errors/index.js';
import * as daemons from './Daemon.js';

const USAGE = 'usage: bramleyrund --settings FILE [--check]';

/** The parsed command line. */
interface Arguments {
  readonly settingsFile: string;
  readonly isCheckOnly: boolean;
}

function parseArguments(): Arguments {
  const {values} = util.parseArgs({
    options: {
      settings: {type: 'string'},
      check: {type: 'boolean', default: false},
    },
  });
  if (values.settings === undefined)
    return errors.throwError('invalidSettings', USAGE, 'settings');
  return {settingsFile: values.settings, isCheckOnly: values.check};
}

function readSettings(settingsFile: string): codecs.Settings {
  try {
    return codecs.parseSettings(fs.readFileSync(settingsFile, 'utf8'));
  } catch (thrown) {
    const error = errors.toError(thrown);
    return errors.throwError(
      'invalidSettings',
      `${settingsFile}: ${error.message}`,
      error.fieldPath,
    );
  }
}

async function run(): Promise<void> {
  const {settingsFile, isCheckOnly} = parseArguments();
  const settings = readSettings(settingsFile);
  if (isCheckOnly) {
    process.stdout.write(`${settingsFile} is valid\n`);
    return;
  }
  const daemon = new daemons.Daemon(settings);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit());
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  const result = await daemon.start().catch(async (thrown: unknown) => {
    isStopping = true;
    // Peers would go on to send callers to a process that has no listener for them.
    await daemon.stop();
    throw thrown;
  });
  switch (result.kind) {
    case 'running':
      process.stdout.write(`${JSON.stringify(result.addresses)}\n`);
      return;
    case 'stopped':
      return;
    default:
      errors.throwUnreachable(result);
  }
}

run().catch((thrown: unknown) => {
  const error = errors.toError(thrown);
  process.stderr.write(`bramleyrund: ${error.message}\n`);
  // Timers that are still pending would delay the end of the process.
  process.exit(errors.ERROR_ANSWERS[error.kind].exitCode);
});
