import type * as entry from '../../model/entry/index.js';
import * as daemons from './EntryDaemon.js';

/**
 * Starts the daemon of an entry VM. SIGTERM and SIGINT stop the daemon, then the process exits with code 0.
 *
 * @throws Error when a service fails to start; the others have been stopped.
 */
export async function runEntryDaemon(
  settings: entry.EntrySettings,
  adapters: daemons.EntryAdapters,
): Promise<void> {
  const daemon = new daemons.EntryDaemon(settings, adapters);
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    void daemon.stop().then(() => process.exit());
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => daemon.logReload());
  try {
    await daemon.start();
  } catch (thrown) {
    isStopping = true;
    // Peers would go on to send callers to a process that has no listener for them.
    await daemon.stop();
    throw thrown;
  }
}
