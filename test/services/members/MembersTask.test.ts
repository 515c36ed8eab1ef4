import * as dgram from 'node:dgram';
import * as events from 'node:events';
import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import * as services from '../../../src/services/index.js';
import * as records from '../../support/records/index.js';
import * as stubs from '../../support/services/StubTask.js';

void test.describe('MembersTask', {timeout: 10_000}, () => {
  void test.it('fails to start when its address is in use', async () => {
    const other = dgram.createSocket('udp4');
    other.bind(0, '127.0.0.1');
    await events.EventEmitter.once(other, 'listening');
    const daemon = new kernel.Kernel()
      .add(services.LOG, new stubs.StubTask<services.LogMessage>())
      .add(services.KNOWLEDGE, new stubs.StubTask<services.KnowledgeMessage>())
      .add(
        services.MEMBERS,
        new services.MembersTask(records.getMemberRecord('vm-0'), {
          host: '127.0.0.1',
          port: other.address().port,
        }),
      );
    try {
      await earl.expect(daemon.start()).toBeRejectedWith('EADDRINUSE');
    } finally {
      other.close();
    }
  });
});
