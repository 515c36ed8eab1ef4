import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as test from 'node:test';
import * as earl from 'earl';
import * as codecs from '../../src/codecs/logs/index.js';
import * as trace from '../../src/programs/cli/commands/Trace.js';

const FIRST_LOG = `
level=info time=2026-01-26T16:54:40.000 vm=vm-1 event=configurationApplied version=5 tableVersion=90 evacuated=""
level=warn time=2026-01-26T16:54:43.356 vm=vm-1 event=upstreamAvoided upstream=i-a4 reason=timedOut
level=info time=2026-01-26T16:54:43.400 vm=vm-1 event=requestRetried request=r1 upstream=i-b9 reason=shed
level=info time=2026-01-26T16:54:43.410 vm=vm-1 event=requestRefused request=r1 error=upstreamShed message="the upstreams are \\"full\\"" version=5 retryAfterMs=310
level=info time=2026-01-26T16:54:44.000 vm=vm-1 event=storeLost reason=later
`;
const SECOND_LOG =
  'level=info time=2026-01-26T16:54:43.000 vm=vm-2 event=requestRefused request=r2 error=notFresh\n';

void test.describe('trace', () => {
  void test.it(
    'tells a story in order, with what the VM believed',
    async () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'trace-'));
      const first = path.join(folder, 'vm-1.log');
      const second = path.join(folder, 'vm-2.log');
      fs.writeFileSync(first, FIRST_LOG);
      fs.writeFileSync(second, SECOND_LOG);
      const story = await trace.Trace.run([
        'r1',
        '--log',
        second,
        '--log',
        first,
        '--json',
      ]);
      earl
        .expect(story.map(line => line.event))
        .toEqual([
          'configurationApplied',
          'upstreamAvoided',
          'requestRetried',
          'requestRefused',
        ]);
      earl.expect(story[3].details.includes('are "full"')).toEqual(true);
      await earl.expect(trace.Trace.run(['r9', '--log', first])).toBeRejected();
      // The command line sets the code with which its process ends, and this process is not its own.
      earl.expect(process.exitCode).toEqual(1);
      process.exitCode = 0;
      fs.rmSync(folder, {recursive: true});
    },
  );

  void test.it('reads pairs whatever comes before them', () => {
    const line = codecs.parseLogLine('  12.5 vm-1 a=1 b="x \\"y\\"" c=');
    earl.expect([...line]).toEqual([
      ['a', '1'],
      ['b', 'x "y"'],
      ['c', ''],
    ]);
  });
});
