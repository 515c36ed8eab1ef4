import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const BUILD_FOLDER = path.join(import.meta.dirname, '../..');
const BUNDLER = path.join(BUILD_FOLDER, '../deploy/bundle.js');
const ENTRY_POINT = path.join(BUILD_FOLDER, 'platform/main.js');

void test.describe('the entry program bundled into one file', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bundle-'));

  test.after(() => fs.rmSync(folder, {recursive: true, force: true}));

  void test.it(
    'serves callers and writes logs without node_modules',
    async () => {
      const program = path.join(folder, 'entry.mjs');
      childProcess.execFileSync(process.execPath, [
        BUNDLER,
        ENTRY_POINT,
        program,
      ]);
      await fleets.withFleet(
        async fleet => {
          fleet.configure(
            [{prefix: '/look/', kind: 'safe', service: 'desk'}],
            fleets.getSoleOrganisation('k1'),
          );
          await fleet.addUpstream('desk');
          await fleet.addVms(2);
          for (const vmIndex of [0, 1])
            earl.expect((await fleet.call(vmIndex)).httpStatus).toEqual(200);
          const log = fleet.getProcess(0).getLog();
          earl.expect(log.includes('event=memberHeard')).toEqual(true);
        },
        {program},
      );
    },
  );
});
