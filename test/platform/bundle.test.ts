import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const BUILD_FOLDER = path.join(import.meta.dirname, '../..');
const BUNDLER = path.join(BUILD_FOLDER, '../deploy/bundle.js');
const STARTER = path.join(BUILD_FOLDER, '../deploy/start.cjs');
const ENTRY_POINT = path.join(BUILD_FOLDER, 'platform/main.js');

void test.describe('the entry program bundled into one file', () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bundle-'));
  const program = path.join(folder, 'entry.cjs');
  const cache = `${program}.cache`;

  test.before(() => {
    runNode(BUNDLER, ENTRY_POINT, program);
    runNode(STARTER, program, '--write-cache');
  });

  test.after(() => fs.rmSync(folder, {recursive: true, force: true}));

  void test.it('serves callers and writes logs without node_modules', () =>
    serveCallers(program, log =>
      earl.expect(log.includes('is not used by this Node.js')).toEqual(false),
    ),
  );

  void test.it('serves callers when its code cache is damaged', async () => {
    const damaged = path.join(folder, 'damaged.cjs');
    fs.copyFileSync(program, damaged);
    fs.writeFileSync(`${damaged}.cache`, fs.readFileSync(cache).reverse());
    await serveCallers(damaged, log =>
      earl.expect(log.includes('is not used by this Node.js')).toEqual(true),
    );
  });
});

function runNode(...args: readonly string[]): void {
  childProcess.execFileSync(process.execPath, args);
}

async function serveCallers(
  program: string,
  checkLog: (log: string) => void,
): Promise<void> {
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
      checkLog(log);
    },
    {program: STARTER, programArguments: [program]},
  );
}
