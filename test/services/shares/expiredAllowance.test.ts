import * as test from 'node:test';
import * as earl from 'earl';
import type * as entry from '../../../src/model/entry/index.js';
import * as shares from '../../../src/services/shares/OrganisationShare.js';

const BOUNDS = {limitWindowMs: 5000, limitOverage: 0.1, limitSlack: 20};
const ORGANISATION = {
  organisationId: 'rustavi',
  ratePerSecond: 40,
  burstRequests: 40,
} as entry.EntryOrganisation;
const IDLE: entry.LimitUse = {
  demandPerSecond: 0,
  admittedCount: 0,
  leavingCount: 0,
};
const UPDATE_INTERVAL_MS = 1000;
const LAST_UPDATE_MS = 10_000;
const WANTED_COUNT = 5;

/** Returns the share of one of two VMs that have been running for two windows. */
function getInformedShare(): shares.OrganisationShare {
  const share = new shares.OrganisationShare(ORGANISATION, BOUNDS, 0);
  for (
    let nowMs = UPDATE_INTERVAL_MS;
    nowMs <= LAST_UPDATE_MS;
    nowMs += UPDATE_INTERVAL_MS
  ) {
    share.measure(nowMs);
    share.update(
      {
        memberCount: 2,
        isConnected: true,
        isLender: true,
        fullWindowUses: [IDLE],
        partialWindowUses: [],
      },
      0,
      nowMs,
    );
  }
  return share;
}

void test.describe('an allowance of an organisation', () => {
  void test.it('admits and lends until the next update is due', () => {
    const nowMs = LAST_UPDATE_MS + UPDATE_INTERVAL_MS;
    earl.expect(getInformedShare().tryAdmit(nowMs)).toEqual(true);
    earl
      .expect(getInformedShare().lend(WANTED_COUNT, nowMs))
      .toEqual(WANTED_COUNT);
  });

  void test.it('admits and lends nothing after a pause of the process', () => {
    const nowMs = LAST_UPDATE_MS + 4 * UPDATE_INTERVAL_MS;
    const share = getInformedShare();
    share.addBorrowed(WANTED_COUNT);
    earl.expect(share.tryAdmit(nowMs)).toEqual(false);
    earl.expect(share.lend(WANTED_COUNT, nowMs)).toEqual(0);
  });
});
