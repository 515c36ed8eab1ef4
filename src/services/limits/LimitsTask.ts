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
import * as remotes from './RemoteTokenClient.js';

const UPDATE_INTERVAL_MS = 250;

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
      message.reply(this.admitLocally(message.organisationId));
      return;
    }
    this.remoteTokenClient.admit(message);
  }

  private admitLocally(organisationId: string): messages.AdmissionResult {
    const nowMs = this.nowMs();
    const event = {kind: 'admit', tokens: 1} as const;
    const outcome = this.bucketTable.decide(organisationId, event, nowMs);
    switch (outcome?.kind) {
      case 'granted':
        return {kind: 'granted'};
      case 'refused':
        return {kind: 'refused', retryAtMs: outcome.retryAtMs};
      default:
        return {kind: 'unavailable'};
    }
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
    if (!fleetViews.isFresh(this.fleetView, clock))
      return {kind: 'tokens', grantedTokens: 0, retryAfterMs: 0};
    services
      .getOrThrow(metrics.METRICS)
      .post({kind: 'count', name: 'tokens_taken_remotely'});
    return this.bucketTable.grant(request, nowMs);
  }
}
