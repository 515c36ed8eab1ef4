import type * as entry from '../../model/entry/index.js';
import * as daemons from './EntryDaemon.js';

/** Runs an entry VM's process until it is asked to stop. */
export async function runEntryDaemon(
  settings: entry.EntrySettings,
  adapters: daemons.EntryAdapters,
): Promise<void> {
  const daemon = new daemons.EntryDaemon(settings, adapters);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => daemon.noteReload());
  await daemon.start();
}
