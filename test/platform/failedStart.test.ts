import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

/** The port on which callers of the entry program connect. */
const CALLERS_PORT = 8668;
const GRACE_PERIOD_MS = 6000;

void test.describe('a start that fails', {timeout: 60_000}, () => {
  void test.it('ends the process and removes its row', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(
        [{prefix: '/look/', kind: 'safe', service: 'desk'}],
        fleets.getSoleOrganisation('k1'),
      );
      await fleet.addUpstream('desk');
      await fleet.addVms(1);
      const other = net.createServer();
      other.listen(CALLERS_PORT, fleet.getVmHost(1));
      await events.EventEmitter.once(other, 'listening');
      try {
        const startedAtMs = performance.now();
        fleet.startVm();
        await fleet.waitFor(() => !fleet.getProcess(1).isRunning());
        earl
          .expect(performance.now() - startedAtMs)
          .toBeLessThan(GRACE_PERIOD_MS);
        const log = fleet.getProcess(1).getLog();
        earl.expect(log.includes('EADDRINUSE')).toEqual(true);
        earl.expect(log.includes('event=daemonStarted')).toEqual(false);
        earl.expect(await fleet.getProcess(1).waitForExit()).toEqual(70);
        earl.expect(fleet.store.getKeys('entry-vms')).toEqual(['vm-0']);
        earl
          .expect(await fleet.steer(0, 'amman-a'))
          .toEqual([`${fleet.getVmHost(0)}:${CALLERS_PORT}`]);
      } finally {
        other.close();
      }
    });
  });
});
