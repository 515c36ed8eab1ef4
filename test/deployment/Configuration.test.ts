import * as crypto from 'node:crypto';
import * as test from 'node:test';
import * as earl from 'earl';
import type * as configurations from '../../src/model/configuration/index.js';
import type * as services from '../../src/services/index.js';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as plans from './plans.js';

/** Time in milliseconds within which an accepted change must be in force on every VM. */
const PROPAGATION_LIMIT_MS = 9000;

const VM_IDS: readonly string[] = ['vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4'];
/** The VM that faults of a single VM are injected into. */
const FAULTY_VM_ID = 'vm-4';

type FaultName =
  | 'none'
  | 'storeDownAfterwards'
  | 'oneVmWithoutStore'
  | 'oneVmIsolated'
  | 'oneVmFrozen'
  | 'answerLost'
  | 'answersHeld';

const FAULTS: readonly FaultName[] = [
  'none',
  'storeDownAfterwards',
  'oneVmWithoutStore',
  'oneVmIsolated',
  'oneVmFrozen',
  'answerLost',
  'answersHeld',
];

/** The answer to a configuration change that was written to the store. */
interface CommittedResult {
  readonly kind: 'committed';
  readonly version: number;
  readonly spread: services.VersionSpread;
}

const deployment = new deployments.Deployment(
  plans.getPlan({vmCount: 5, upstreamCount: 3}),
);

async function injectFaultBeforePatch(fault: FaultName): Promise<void> {
  const faultyVm = deployment.getVmOrThrow(FAULTY_VM_ID);
  switch (fault) {
    case 'none':
    case 'storeDownAfterwards':
      return;
    case 'oneVmWithoutStore':
      faultyVm.platformProxy.setFault({kind: 'freeze'});
      return;
    case 'oneVmIsolated':
      faultyVm.platformProxy.setFault({kind: 'cut'});
      deployment.setPeerIsolation(FAULTY_VM_ID, true);
      return;
    case 'oneVmFrozen':
      faultyVm.process.signal('SIGSTOP');
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

async function injectFaultAfterPatch(fault: FaultName): Promise<void> {
  if (fault !== 'storeDownAfterwards') return;
  await deployment.setPlatformFaults({outage: 'refuse'});
}

async function clearFaults(): Promise<void> {
  await deployment.setPlatformFaults({});
  for (const vm of deployment.getVms()) {
    vm.platformProxy.setFault({kind: 'none'});
    vm.process.signal('SIGCONT');
    deployment.setPeerIsolation(vm.plan.vmId, false);
  }
  await deployment.waitUntilServing(VM_IDS.length);
}

/** Resends a change under the same change ID until it is accepted, as a user of the CLI would; returns its version. */
async function patchUntilAccepted(patch: object): Promise<number> {
  const {version} =
    await deployment.callOperatorMethod<configurations.Configuration>(
      'vm-0',
      'showConfiguration',
    );
  const changeId = crypto.randomUUID();
  for (;;) {
    try {
      const result = await deployment.patchVersion<CommittedResult>(
        'vm-0',
        version,
        patch,
        changeId,
      );
      if (result.spread.isAccepted) return result.version;
    } catch (error) {
      const message = error instanceof Error ? error.message : '';
      earl.expect(message.includes('lost')).toEqual(true);
    }
  }
}

function isRejected(answer: deployments.CallerAnswer): boolean {
  return answer.httpStatus === 401 || answer.httpStatus === 503;
}

async function waitUntilRejected(
  vmIds: readonly string[],
  key: string,
): Promise<void> {
  for (const vmId of vmIds)
    await deployments.waitFor(async () =>
      isRejected(await deployment.request(vmId, '/look-up/w', {key})),
    );
}

void test.describe(
  'configuration changes over five VMs',
  {timeout: 600_000},
  () => {
    test.before(async () => {
      await deployment.start();
    });

    test.after(async () => {
      await deployment.stop();
    });

    for (const fault of FAULTS)
      void test.it(
        `a withdrawn key stops working, fault ${fault}`,
        async () => {
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
          await injectFaultBeforePatch(fault);
          await patchUntilAccepted({keys: {[key]: {status: 'withdrawn'}}});
          const acceptedAtMs = Date.now();
          await injectFaultAfterPatch(fault);
          const runningVmIds =
            fault === 'oneVmFrozen' ? VM_IDS.slice(0, 4) : VM_IDS;
          await waitUntilRejected(runningVmIds, key);
          await deployments.waitFor(() => Date.now() > acceptedAtMs + 3500);
          deployment.getVmOrThrow(FAULTY_VM_ID).process.signal('SIGCONT');
          const resumedVmAnswer = await deployment.request(
            FAULTY_VM_ID,
            '/look-up/w',
            {key},
          );
          earl.expect(isRejected(resumedVmAnswer)).toEqual(true);
          await clearFaults();
          for (const vmId of VM_IDS) {
            const answer = await deployment.request(vmId, '/look-up/w', {key});
            earl.expect(answer.httpStatus).toEqual(401);
          }
          await deployment.waitForRunEvents();
          const lateRuns = deployment
            .getRunEvents()
            .filter(run => run.target === '/look-up/w')
            .filter(run => run.atMs > acceptedAtMs + PROPAGATION_LIMIT_MS);
          earl.expect(lateRuns.length).toEqual(0);
        },
      );

    void test.it(
      'a change that only a minority of the VMs has applied is not reported as accepted',
      async () => {
        const minorityVmIds = ['vm-0', 'vm-1'];
        const majorityVmIds = ['vm-2', 'vm-3', 'vm-4'];
        for (const vmId of majorityVmIds) {
          const vm = deployment.getVmOrThrow(vmId);
          vm.platformProxy.setFault({kind: 'cut'});
          for (const otherVmId of minorityVmIds) {
            const otherVm = deployment.getVmOrThrow(otherVmId);
            vm.peersProxy.setFault({kind: 'freeze'}, otherVm.host);
            otherVm.peersProxy.setFault({kind: 'freeze'}, vm.host);
          }
        }
        const result = await deployment.patch<CommittedResult>('vm-0', {
          organisations: {rustavi: {name: 'Renamed'}},
        });
        earl.expect(result.spread.isAccepted).toEqual(false);
        earl.expect(result.spread.missingVmIds.length).toEqual(3);
        await clearFaults();
        await deployment.waitForVersion(result.version);
      },
    );

    void test.it(
      'one of several concurrent changes succeeds, the others get a version conflict',
      async () => {
        for (let round = 0; round < 5; round += 1) {
          const {version} =
            await deployment.callOperatorMethod<configurations.Configuration>(
              'vm-0',
              'showConfiguration',
            );
          await deployment.waitForVersion(version);
          const results = await Promise.allSettled(
            VM_IDS.map(vmId =>
              deployment.patchVersion<CommittedResult>(vmId, version, {
                organisations: {rustavi: {name: `${vmId} ${round}`}},
              }),
            ),
          );
          const succeeded = results.filter(
            result => result.status === 'fulfilled',
          );
          earl.expect(succeeded.length).toEqual(1);
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
      'every change is recorded in the audit trail with its operator',
      async () => {
        const {records} = await deployment.callOperatorMethod<{
          readonly records: readonly configurations.AuditRecord[];
        }>('vm-3', 'history', {afterVersion: 0, limit: 1000});
        records.forEach((record, index) => {
          earl.expect(record.version).toEqual(index + 1);
          earl.expect(record.operatorId).toEqual('tester');
        });
      },
    );

    void test.it(
      'an invalid patch is refused with the path of the field and changes nothing',
      async () => {
        const before =
          await deployment.callOperatorMethod<configurations.Configuration>(
            'vm-1',
            'showConfiguration',
          );
        const invalidPatch = {organisations: {rustavi: {ratePerSecond: -1}}};
        let message = '';
        try {
          await deployment.patchVersion('vm-1', before.version, invalidPatch);
        } catch (error) {
          message = (error as Error).message;
        }
        earl
          .expect(message.startsWith('organisations.rustavi.ratePerSecond'))
          .toEqual(true);
        const after =
          await deployment.callOperatorMethod<configurations.Configuration>(
            'vm-1',
            'showConfiguration',
          );
        earl.expect(after.version).toEqual(before.version);
      },
    );
  },
);
