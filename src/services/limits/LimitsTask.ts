import type * as decisions from '../../decisions/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as peers from '../../model/peers/index.js';
import * as base from '../base/index.js';
import * as configurationService from '../configuration/ConfigurationMessage.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as fleetViews from '../fleet/FleetView.js';
import * as metrics from '../metrics/index.js';
import * as buckets from './BucketTable.js';
import * as loans from './LoanManager.js';
import * as homes from './HomeTable.js';
import type * as messages from './LimitsMessage.js';
import * as previews from './previewTokens.js';
import * as remotes from './RemoteTokenClient.js';

const UPDATE_INTERVAL_MS = 250;

/** The event of one request that this process admits itself. */
const ADMIT_EVENT = {kind: 'admit', tokens: 1} as const;

/** The answer of a home that is not fresh. */
const NO_TOKENS: peers.PeerAnswer = {
  kind: 'tokens',
  grantedTokens: 0,
  retryAfterMs: 0,
};

/** Admits requests within each organisation's rate and burst over the whole fleet. */
export class LimitsTask extends base.ServiceTask<messages.LimitsMessage> {
  private readonly bucketTable = new buckets.BucketTable();
  private readonly homeTable = new homes.HomeTable();
  private readonly loanManager = new loans.LoanManager(
    this.bucketTable,
    this.homeTable,
  );
  private readonly remoteTokenClient = new remotes.RemoteTokenClient(
    this.homeTable,
  );
  private configuration: configurations.Configuration =
    configurations.EMPTY_CONFIGURATION;
  private fleetView: fleetViews.FleetView | undefined;

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.remoteTokenClient.start(this.getContext());
    this.loanManager.start(this.getContext());
    const configuration = services.getOrThrow(
      configurationService.CONFIGURATION,
    );
    configuration.post({kind: 'subscribe', subscriber: this.getAddress()});
    const fleet = services.getOrThrow(fleetService.FLEET);
    fleet.post({kind: 'subscribe', subscriber: this.getAddress()});
    this.postEvery(UPDATE_INTERVAL_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.LimitsMessage): void {
    switch (message.kind) {
      case 'configurationChanged':
        this.configuration = message.configuration;
        this.update();
        return;
      case 'fleetChanged':
        this.fleetView = message.view;
        this.update();
        return;
      case 'admit':
        this.admit(message);
        return;
      case 'previewAdmission':
        void this.previewAdmission(message.organisationId).then(message.reply);
        return;
      case 'peerRequest':
        message.reply(this.handlePeerRequest(message.request));
        return;
      case 'tick':
        this.update();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private update(): void {
    if (this.fleetView === undefined) return;
    const nowMs = this.nowMs();
    const {document} = this.configuration;
    this.homeTable.update(this.fleetView.liveHolders);
    this.bucketTable.update(document.organisations, this.fleetView, nowMs);
    const isViewFresh = fleetViews.isFresh(
      this.fleetView,
      this.getContext().clock,
    );
    this.loanManager.update(this.fleetView, isViewFresh, nowMs);
    this.remoteTokenClient.retryWaiting();
  }

  private admit(
    message: Extract<messages.LimitsMessage, {kind: 'admit'}>,
  ): void {
    const {clock} = this.getContext();
    if (!fleetViews.isFresh(this.fleetView, clock)) {
      message.reply({kind: 'unavailable'});
      return;
    }
    const selfId = this.fleetView?.self.processId ?? '';
    if (this.homeTable.isHome(message.organisationId, selfId)) {
      message.reply(
        toAdmissionResult(
          this.bucketTable.decide(
            message.organisationId,
            ADMIT_EVENT,
            this.nowMs(),
          ),
        ),
      );
      return;
    }
    this.remoteTokenClient.admit(message);
  }

  private async previewAdmission(
    organisationId: string,
  ): Promise<messages.AdmissionResult> {
    const {clock} = this.getContext();
    const home = this.homeTable.getHome(organisationId);
    if (!fleetViews.isFresh(this.fleetView, clock) || home === undefined)
      return {kind: 'unavailable'};
    if (home.processId !== this.fleetView?.self.processId)
      return await previews.previewTokens(
        this.getContext(),
        home,
        organisationId,
      );
    return toAdmissionResult(
      this.bucketTable.preview(organisationId, ADMIT_EVENT, this.nowMs()),
    );
  }

  private handlePeerRequest(
    request: Extract<messages.LimitsMessage, {kind: 'peerRequest'}>['request'],
  ): peers.PeerAnswer {
    const nowMs = this.nowMs();
    switch (request.kind) {
      case 'borrowShares':
        return {
          kind: 'loans',
          entries: this.bucketTable.lend(request, nowMs),
        };
      case 'returnShares':
        this.bucketTable.reclaim(request, nowMs);
        return {kind: 'done'};
      case 'takeTokens':
        return this.grantTokens(request, nowMs);
      case 'previewTokens':
        return fleetViews.isFresh(this.fleetView, this.getContext().clock)
          ? this.bucketTable.previewGrant(request, nowMs)
          : NO_TOKENS;
      case 'settleTokens': {
        const {organisationId, grantId, unspentTokens} = request;
        const event = {kind: 'settle', grantId, unspentTokens} as const;
        this.bucketTable.decide(organisationId, event, nowMs);
        return {kind: 'done'};
      }
      default:
        return errors.throwUnreachable(request);
    }
  }

  private grantTokens(
    request: Extract<peers.PeerRequest, {kind: 'takeTokens'}>,
    nowMs: number,
  ): peers.PeerAnswer {
    const {clock, services} = this.getContext();
    if (!fleetViews.isFresh(this.fleetView, clock)) return NO_TOKENS;
    services
      .getOrThrow(metrics.METRICS)
      .post({kind: 'count', name: 'tokens_taken_remotely'});
    return this.bucketTable.grant(request, nowMs);
  }
}

function toAdmissionResult(
  outcome: decisions.BucketOutcome | undefined,
): messages.AdmissionResult {
  switch (outcome?.kind) {
    case 'granted':
      return {kind: 'granted'};
    case 'refused':
      return {kind: 'refused', retryAtMs: outcome.retryAtMs};
    default:
      return {kind: 'unavailable'};
  }
}
