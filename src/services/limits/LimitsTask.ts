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
import * as remotes from './RemoteTokens.js';

const TICK_MS = 250;

/** Admits requests within each organisation's rate and burst over the whole fleet. */
export class LimitsTask extends base.ServiceTask<messages.LimitsMessage> {
  private readonly buckets = new buckets.BucketTable();
  private readonly homes = new homes.HomeTable();
  private readonly loanManager = new loans.LoanManager(
    this.buckets,
    this.homes,
  );
  private readonly remoteTokens = new remotes.RemoteTokens(this.homes);
  private configuration: configurations.Configuration =
    configurations.EMPTY_CONFIGURATION;
  private view: fleetViews.FleetView | undefined;

  protected override async onStart(): Promise<void> {
    const {services} = this.getContext();
    this.remoteTokens.start(this.getContext());
    this.loanManager.start(this.getContext());
    const configuration = services.getOrThrow(
      configurationService.CONFIGURATION,
    );
    configuration.post({kind: 'subscribe', subscriber: this.getAddress()});
    const fleet = services.getOrThrow(fleetService.FLEET);
    fleet.post({kind: 'subscribe', subscriber: this.getAddress()});
    this.postEvery(TICK_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.LimitsMessage): void {
    switch (message.kind) {
      case 'configurationChanged':
        this.configuration = message.configuration;
        this.update();
        return;
      case 'fleetChanged':
        this.view = message.view;
        this.update();
        return;
      case 'admit':
        this.admit(message);
        return;
      case 'peerRequest':
        message.reply(this.answer(message.request));
        return;
      case 'tick':
        this.update();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private update(): void {
    if (this.view === undefined) return;
    const nowMs = this.nowMs();
    const {document} = this.configuration;
    this.homes.update(this.view.liveHolders);
    this.buckets.update(document.organisations, this.view, nowMs);
    const isSelfFresh = fleetViews.isFresh(this.view, this.getContext().clock);
    this.loanManager.update(this.view, isSelfFresh, nowMs);
    this.remoteTokens.retryWaiting();
  }

  private admit(
    message: Extract<messages.LimitsMessage, {kind: 'admit'}>,
  ): void {
    const {clock} = this.getContext();
    if (!fleetViews.isFresh(this.view, clock)) {
      message.reply({kind: 'unavailable'});
      return;
    }
    const selfId = this.view?.self.processId ?? '';
    if (this.homes.isHome(message.organisationId, selfId)) {
      message.reply(this.admitHere(message.organisationId));
      return;
    }
    this.remoteTokens.admit(message);
  }

  private admitHere(organisationId: string): messages.AdmissionResult {
    const nowMs = this.nowMs();
    const event = {kind: 'admit', tokens: 1} as const;
    const outcome = this.buckets.decide(organisationId, event, nowMs);
    switch (outcome?.kind) {
      case 'granted':
        return {kind: 'granted'};
      case 'refused':
        return {kind: 'refused', retryAtMs: outcome.retryAtMs};
      default:
        return {kind: 'unavailable'};
    }
  }

  private answer(
    request: Extract<messages.LimitsMessage, {kind: 'peerRequest'}>['request'],
  ): peers.PeerAnswer {
    const nowMs = this.nowMs();
    switch (request.kind) {
      case 'borrowShares':
        return {
          kind: 'loans',
          entries: this.buckets.lend(request, nowMs),
        };
      case 'returnShares':
        this.buckets.takeBack(request, nowMs);
        return {kind: 'done'};
      case 'takeTokens':
        return this.grant(request, nowMs);
      case 'settleTokens': {
        const {organisationId, grantId, unspentTokens} = request;
        const event = {kind: 'settle', grantId, unspentTokens} as const;
        this.buckets.decide(organisationId, event, nowMs);
        return {kind: 'done'};
      }
      default:
        return errors.throwUnreachable(request);
    }
  }

  private grant(
    request: Extract<peers.PeerRequest, {kind: 'takeTokens'}>,
    nowMs: number,
  ): peers.PeerAnswer {
    const {clock, services} = this.getContext();
    if (!fleetViews.isFresh(this.view, clock))
      return {kind: 'tokens', grantedTokens: 0, retryAfterMs: 0};
    services
      .getOrThrow(metrics.METRICS)
      .post({kind: 'count', name: 'tokens_taken_remotely'});
    return this.buckets.grant(request, nowMs);
  }
}
