import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import * as services from '../../../src/services/index.js';
import * as records from '../../support/records/index.js';
import * as stubs from '../../support/services/StubTask.js';

const SECRET = 'secret';

const REQUEST: services.RepeatableRequest = {
  organisationId: 'rustavi',
  request: {method: 'GET', target: '/look/x', body: new Uint8Array()},
};

/** A VM with a quarantine that reaches its peers by real calls; its datagrams are lost. */
class Vm {
  readonly kernel = new kernel.Kernel();
  private readonly members = new stubs.StubTask<services.MembersMessage>();

  constructor(seed: number) {
    this.kernel
      .add(services.LOG, new stubs.StubTask<services.LogMessage>())
      .add(services.METRICS, new stubs.StubTask<services.MetricsMessage>())
      .add(services.MEMBERS, this.members)
      .add(
        services.PEERS,
        new services.PeersTask({host: '127.0.0.1', port: 0}, SECRET),
      )
      .add(
        services.QUARANTINE,
        new services.QuarantineTask({kind: 'members'}, seed),
      );
  }

  async getPeersAddress(): Promise<string> {
    return await this.kernel
      .getOrThrow(services.PEERS)
      .ask<string>(reply => ({kind: 'getAddress', reply}));
  }

  /** Tells the VM which peers it has. */
  async setPeers(...peers: readonly Vm[]): Promise<void> {
    const peerStatuses = await Promise.all(
      peers.map(async (peer, index) => {
        const status = records.getMemberStatus(
          records.getMemberRecord(`vm-${index}`),
        );
        const peersAddress = await peer.getPeersAddress();
        return {...status, member: {...status.member, peersAddress}};
      }),
    );
    this.kernel.getOrThrow(services.QUARANTINE).post({
      kind: 'membersChanged',
      selfId: 'self',
      peerStatuses,
      servingMembers: [],
      peerCount: peers.length,
      isPeerCountKnown: true,
      isConnected: true,
    });
  }

  async admit(): Promise<services.AttemptAdmission> {
    return await this.kernel
      .getOrThrow(services.QUARANTINE)
      .ask<services.AttemptAdmission>(reply => ({
        kind: 'admitAttempt',
        repeatable: REQUEST,
        reply,
      }));
  }

  /** Sends the request once; its connection breaks. */
  async sendBroken(port: number): Promise<void> {
    const admission = await this.admit();
    if (admission.kind !== 'admitted') return;
    await this.kernel.getOrThrow(services.QUARANTINE).ask<void>(reply => ({
      kind: 'recordBreak',
      repeatable: REQUEST,
      mark: admission.mark,
      upstream: {upstreamId: 'i-0', host: '127.0.0.1', port},
      reply,
    }));
  }
}

async function withVms(
  count: number,
  run: (vms: readonly Vm[]) => Promise<void>,
): Promise<void> {
  const vms = Array.from({length: count}, (_, index) => new Vm(index));
  try {
    for (const vm of vms) await vm.kernel.start();
    await run(vms);
  } finally {
    for (const vm of vms) await vm.kernel.stop();
  }
}

/** Gets a port on which nothing listens any more. */
async function getClosedPort(): Promise<number> {
  const server = net.createServer().listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  server.close();
  await events.EventEmitter.once(server, 'close');
  return port;
}

void test.describe('QuarantineTask', {timeout: 20_000}, () => {
  void test.it('teaches a VM that starts what its peers know', async () => {
    await withVms(2, async ([old, started]) => {
      const port = await getClosedPort();
      await old.sendBroken(port);
      await old.sendBroken(port);
      earl.expect((await old.admit()).kind).toEqual('quarantined');
      earl.expect((await started.admit()).kind).toEqual('admitted');
      await started.setPeers(old);
      await timers.setTimeout(300);
      earl.expect((await started.admit()).kind).toEqual('quarantined');
    });
  });

  // Guards against VMs that never learn what was announced while they were cut off.
  void test.it('repairs lost announcements within seconds', async () => {
    await withVms(2, async ([a, b]) => {
      await a.setPeers(b);
      await b.setPeers(a);
      await timers.setTimeout(300);
      const port = await getClosedPort();
      await a.sendBroken(port);
      await a.sendBroken(port);
      earl.expect((await b.admit()).kind).toEqual('admitted');
      await timers.setTimeout(2500);
      earl.expect((await b.admit()).kind).toEqual('quarantined');
    });
  });

  // Guards against refusing requests whose answers got lost although their upstreams run on.
  void test.it('suspects no request whose upstream runs on', async () => {
    const server = net.createServer().listen(0, '127.0.0.1');
    await events.EventEmitter.once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    await withVms(1, async ([vm]) => {
      for (let count = 0; count < 4; count++) await vm.sendBroken(port);
      earl.expect((await vm.admit()).kind).toEqual('admitted');
    });
    server.close();
  });

  void test.it('recognises a crashed upstream behind a proxy', async () => {
    const proxy = net
      .createServer(socket => socket.destroy())
      .listen(0, '127.0.0.1');
    await events.EventEmitter.once(proxy, 'listening');
    const {port} = proxy.address() as net.AddressInfo;
    await withVms(1, async ([vm]) => {
      await vm.sendBroken(port);
      await vm.sendBroken(port);
      earl.expect((await vm.admit()).kind).toEqual('quarantined');
    });
    proxy.close();
  });
});
