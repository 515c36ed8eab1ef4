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
    'shows the request and the earlier state events in order of time',
    async () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'trace-'));
      const firstLog = path.join(folder, 'vm-1.log');
      const secondLog = path.join(folder, 'vm-2.log');
      fs.writeFileSync(firstLog, FIRST_LOG);
      fs.writeFileSync(secondLog, SECOND_LOG);
      const timeline = await trace.Trace.run([
        'r1',
        '--log',
        secondLog,
        '--log',
        firstLog,
        '--json',
      ]);
      earl
        .expect(timeline.map(line => line.event))
        .toEqual([
          'configurationApplied',
          'upstreamAvoided',
          'requestRetried',
          'requestRefused',
        ]);
      earl.expect(timeline[3].details.includes('are "full"')).toEqual(true);
      await earl
        .expect(trace.Trace.run(['r9', '--log', firstLog]))
        .toBeRejected();
      // The failed command set the exit code of this test process; reset it.
      earl.expect(process.exitCode).toEqual(1);
      process.exitCode = 0;
      fs.rmSync(folder, {recursive: true});
    },
  );

  void test.it('parses the pairs of a line with a prefix', () => {
    const line = codecs.parseLogLine('  12.5 vm-1 a=1 b="x \\"y\\"" c=');
    earl.expect([...line]).toEqual([
      ['a', '1'],
      ['b', 'x "y"'],
      ['c', ''],
    ]);
  });
});
