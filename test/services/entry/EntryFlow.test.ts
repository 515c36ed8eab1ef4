import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as base from '../../../src/services/base/index.js';
import type * as dispatch from '../../../src/services/dispatch/index.js';
import * as flows from '../../../src/services/entry/EntryFlow.js';
import * as shedders from '../../../src/services/entry/LoadShedder.js';
import type * as shares from '../../../src/services/shares/index.js';

const ORGANISATION = {organisationId: 'rustavi'} as entry.EntryOrganisation;
const ROUTE = {timeLimitMs: 1000} as entry.EntryRoute;
const REQUEST = {
  requestId: 'q',
  arrivedAtMs: 0,
  callerDeadlineMs: 1000,
} as entry.EntryRequest;

/** Fake services that admit every request and count the dispatched ones. */
class Services implements kernel.ServiceDirectory {
  dispatchedCount = 0;
  private readonly onAdmit: () => void;

  constructor(onAdmit: () => void) {
    this.onAdmit = onAdmit;
  }

  get<M>(name: kernel.ServiceName<M>): kernel.Address<M> {
    const mailbox =
      name.name === 'shares'
        ? new kernel.Mailbox<shares.SharesMessage>(message => {
            this.onAdmit();
            if (message.kind === 'admit') message.reply({kind: 'granted'});
          })
        : new kernel.Mailbox<dispatch.DispatchMessage>(message => {
            this.dispatchedCount += 1;
            if (message.kind === 'dispatch')
              message.reply({
                kind: 'mayHaveRun',
                error: 'upstreamFailed',
                phase: 'atUpstream',
                message: 'sent',
              });
          });
    return mailbox as unknown as kernel.Address<M>;
  }

  getOrThrow<M>(name: kernel.ServiceName<M>): kernel.Address<M> {
    return this.get(name);
  }
}

const REQUEST_COUNT = 200;
const REQUEST_AGE_MS = 400;
const REQUEST_INTERVAL_MS = 20;

void test.describe('EntryFlow', () => {
  void test.it(
    'rejects some requests at once while the VM is overloaded',
    async () => {
      let nowMs = 0;
      const shedder = new shedders.LoadShedder(
        () => nowMs,
        new base.RandomSource(1),
      );
      const services = new Services(() => undefined);
      const flow = new flows.EntryFlow(services, shedder);
      const run = async () =>
        await flow.run({
          request: REQUEST,
          route: ROUTE,
          organisation: ORGANISATION,
          abandoned: new AbortController().signal,
        });
      for (let count = 0; count < REQUEST_COUNT; count++) {
        nowMs += REQUEST_INTERVAL_MS;
        shedder.recordRequestAge(nowMs - REQUEST_AGE_MS);
      }
      const results: flows.EntryResult[] = [];
      for (let count = 0; count < REQUEST_COUNT; count++)
        results.push(await run());
      const refused = results.filter(
        result => result.kind === 'failed' && result.error === 'overloaded',
      );
      earl.expect(refused.length).toBeGreaterThan(REQUEST_COUNT / 2);
      earl
        .expect(services.dispatchedCount)
        .toEqual(REQUEST_COUNT - refused.length);
      for (const result of refused)
        if (result.kind === 'failed')
          earl.expect(result.retryAtMs ?? 0).toBeGreaterThan(nowMs);
    },
  );

  void test.it(
    'dispatches no request whose caller disconnected during admission',
    async () => {
      const caller = new AbortController();
      const services = new Services(() => caller.abort());
      const shedder = new shedders.LoadShedder(
        () => 0,
        new base.RandomSource(1),
      );
      await new flows.EntryFlow(services, shedder).run({
        request: REQUEST,
        route: ROUTE,
        organisation: ORGANISATION,
        abandoned: caller.signal,
      });
      earl.expect(services.dispatchedCount).toEqual(0);
    },
  );
});
