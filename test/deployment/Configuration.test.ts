import * as crypto from 'node:crypto';
import * as test from 'node:test';
import * as earl from 'earl';
import type * as configurations from '../../src/model/configuration/index.js';
import type * as services from '../../src/services/index.js';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as plans from './plans.js';

/** Time in milliseconds within which a change is in force everywhere. */
const IN_FORCE_MS = 9000;

const VM_IDS: readonly string[] = ['vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4'];
const LONER = 'vm-4';

type FaultName =
  | 'none'
  | 'storeDownAfterwards'
  | 'oneVmWithoutStore'
  | 'oneVmCutOff'
  | 'oneVmFrozen'
  | 'answerLost'
  | 'answersHeld';

const FAULTS: readonly FaultName[] = [
  'none',
  'storeDownAfterwards',
  'oneVmWithoutStore',
  'oneVmCutOff',
  'oneVmFrozen',
  'answerLost',
  'answersHeld',
];

interface Committed {
  readonly kind: 'committed';
  readonly version: number;
  readonly spread: services.VersionSpread;
}

const deployment = new deployments.Deployment(
  plans.getPlan({vmCount: 5, upstreamCount: 3}),
);

async function injectBefore(fault: FaultName): Promise<void> {
  const loner = deployment.getVmOrThrow(LONER);
  switch (fault) {
    case 'none':
    case 'storeDownAfterwards':
      return;
    case 'oneVmWithoutStore':
      loner.platformProxy.setFault({kind: 'freeze'});
      return;
    case 'oneVmCutOff':
      loner.platformProxy.setFault({kind: 'cut'});
      deployment.cutFromPeers(LONER, true);
      return;
    case 'oneVmFrozen':
      loner.process.signal('SIGSTOP');
      return;
    case 'answerLost':
      await deployment.setPlatformFaults({
        lostAnswerCount: 1,
        lostAnswerPrefix: 'configuration',
      });
      return;
    case 'answersHeld':
      await deployment.setPlatformFaults({outage: 'holdAnswers'});
      return;
  }
}

async function injectAfter(fault: FaultName): Promise<void> {
  if (fault !== 'storeDownAfterwards') return;
  await deployment.setPlatformFaults({outage: 'refuse'});
}

async function heal(): Promise<void> {
  await deployment.setPlatformFaults({});
  for (const vm of deployment.getVms()) {
    vm.platformProxy.setFault({kind: 'none'});
    vm.process.signal('SIGCONT');
    deployment.cutFromPeers(vm.plan.vmId, false);
  }
  await deployment.waitUntilServing(VM_IDS.length);
}

/** Sends the same change until its answer is known, as the CLI's user would. */
async function patchUntilAccepted(patch: object): Promise<number> {
  const {version} = await deployment.operate<configurations.Configuration>(
    'vm-0',
    'showConfiguration',
  );
  const changeId = crypto.randomUUID();
  for (;;) {
    try {
      const result = await deployment.patchVersion<Committed>(
        'vm-0',
        version,
        patch,
        changeId,
      );
      if (result.spread.isAccepted) return result.version;
    } catch (thrown) {
      const message = thrown instanceof Error ? thrown.message : '';
      earl.expect(message.includes('lost')).toEqual(true);
    }
  }
}

function isRefused(answer: deployments.CallerAnswer): boolean {
  return answer.httpStatus === 401 || answer.httpStatus === 503;
}

async function waitUntilRefused(
  vmIds: readonly string[],
  key: string,
): Promise<void> {
  for (const vmId of vmIds)
    await deployments.waitFor(async () =>
      isRefused(await deployment.request(vmId, '/look-up/w', {key})),
    );
}

void test.describe('configuration over five VMs', {timeout: 600_000}, () => {
  test.before(async () => {
    await deployment.start();
  });

  test.after(async () => {
    await deployment.stop();
  });

  for (const fault of FAULTS)
    void test.it(`a withdrawn key stops working, fault ${fault}`, async () => {
      const key = `key-${fault}`;
      const granted = {
        organisationId: 'rustavi',
        digestSha256Hex: deployments.getDigestHex(key),
        status: 'granted',
      };
      const version = await patchUntilAccepted({keys: {[key]: granted}});
      await deployment.waitForVersion(version);
      for (const vmId of VM_IDS) {
        const answer = await deployment.request(vmId, '/look-up/w', {key});
        earl.expect(answer.httpStatus).toEqual(200);
      }
      await injectBefore(fault);
      await patchUntilAccepted({keys: {[key]: {status: 'withdrawn'}}});
      const acceptedAtMs = Date.now();
      await injectAfter(fault);
      const awake = fault === 'oneVmFrozen' ? VM_IDS.slice(0, 4) : VM_IDS;
      await waitUntilRefused(awake, key);
      await deployments.waitFor(() => Date.now() > acceptedAtMs + 3500);
      deployment.getVmOrThrow(LONER).process.signal('SIGCONT');
      const woken = await deployment.request(LONER, '/look-up/w', {key});
      earl.expect(isRefused(woken)).toEqual(true);
      await heal();
      for (const vmId of VM_IDS) {
        const answer = await deployment.request(vmId, '/look-up/w', {key});
        earl.expect(answer.httpStatus).toEqual(401);
      }
      await deployment.syncRuns();
      const late = deployment
        .getRuns()
        .filter(run => run.target === '/look-up/w')
        .filter(run => run.atMs > acceptedAtMs + IN_FORCE_MS);
      earl.expect(late.length).toEqual(0);
    });

  void test.it(
    'a change that only a minority with the store has is not called accepted',
    async () => {
      const minority = ['vm-0', 'vm-1'];
      const majority = ['vm-2', 'vm-3', 'vm-4'];
      for (const vmId of majority) {
        const vm = deployment.getVmOrThrow(vmId);
        vm.platformProxy.setFault({kind: 'cut'});
        for (const other of minority) {
          const otherVm = deployment.getVmOrThrow(other);
          vm.peersProxy.setFault({kind: 'freeze'}, otherVm.host);
          otherVm.peersProxy.setFault({kind: 'freeze'}, vm.host);
        }
      }
      const result = await deployment.patch<Committed>('vm-0', {
        organisations: {rustavi: {name: 'Renamed'}},
      });
      earl.expect(result.spread.isAccepted).toEqual(false);
      earl.expect(result.spread.missingVmIds.length).toEqual(3);
      await heal();
      await deployment.waitForVersion(result.version);
    },
  );

  void test.it(
    'of racing operators one wins and the others are told the version',
    async () => {
      for (let round = 0; round < 5; round += 1) {
        const {version} =
          await deployment.operate<configurations.Configuration>(
            'vm-0',
            'showConfiguration',
          );
        await deployment.waitForVersion(version);
        const results = await Promise.allSettled(
          VM_IDS.map(vmId =>
            deployment.patchVersion<Committed>(vmId, version, {
              organisations: {rustavi: {name: `${vmId} ${round}`}},
            }),
          ),
        );
        const won = results.filter(result => result.status === 'fulfilled');
        earl.expect(won.length).toEqual(1);
        for (const result of results) {
          if (result.status === 'fulfilled') continue;
          earl
            .expect((result.reason as Error).message.includes('version'))
            .toEqual(true);
        }
      }
    },
  );

  void test.it(
    'every change stands in the audit trail with its operator',
    async () => {
      const {records} = await deployment.operate<{
        readonly records: readonly configurations.AuditRecord[];
      }>('vm-3', 'history', {afterVersion: 0, limit: 1000});
      records.forEach((record, index) => {
        earl.expect(record.version).toEqual(index + 1);
        earl.expect(record.operatorId).toEqual('tester');
      });
    },
  );

  void test.it(
    'a wrong patch is refused with the path and changes nothing',
    async () => {
      const before = await deployment.operate<configurations.Configuration>(
        'vm-1',
        'showConfiguration',
      );
      const wrong = {organisations: {rustavi: {ratePerSecond: -1}}};
      let message = '';
      try {
        await deployment.patchVersion('vm-1', before.version, wrong);
      } catch (thrown) {
        message = (thrown as Error).message;
      }
      earl
        .expect(message.startsWith('organisations.rustavi.ratePerSecond'))
        .toEqual(true);
      const after = await deployment.operate<configurations.Configuration>(
        'vm-1',
        'showConfiguration',
      );
      earl.expect(after.version).toEqual(before.version);
    },
  );
});
