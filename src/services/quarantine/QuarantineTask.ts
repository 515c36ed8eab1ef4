import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import type * as peers from '../../model/peers/index.js';
import * as base from '../base/index.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as detectors from './CrashDetector.js';
import type * as messages from './QuarantineMessage.js';

/** How long changes are collected before they are announced together: a crash takes many requests with it. */
const ANNOUNCEMENT_DELAY_MS = 10;

/** How long the next attempt to send a request waits for the announcement of a crash. */
const MAX_ANNOUNCEMENT_WAIT_MS = 100;

/** The timeout of a call to a peer. */
const PEER_TIMEOUT_MS = 300;

/** How often the suspects are exchanged with one peer, drawn at random, while any have changed recently. */
const EXCHANGE_INTERVAL_MS = 2000;
const RECENT_CHANGE_MS = 30_000;

/** The number of peers from which a new process learns before it exchanges suspects at the usual interval. */
const INITIAL_EXCHANGE_COUNT = 2;

/** The largest number of suspects in one exchange. */
const MAX_EXCHANGED_SUSPECTS = 100;

/** How changes reach the peers at once. Calls to single peers repair what got lost. */
export type AnnouncementChannel =
  /** By the datagrams of the members service. */
  | {readonly kind: 'members'}
  /** By a call to each serving VM of the fleet service. */
  | {readonly kind: 'fleet'};

/** Recognises requests that crash upstreams, together with the peers, and decides which are no longer sent. */
export class QuarantineTask extends base.ServiceTask<messages.QuarantineMessage> {
  private readonly channel: AnnouncementChannel;
  private readonly detector = new detectors.CrashDetector();
  private readonly random: base.RandomSource;
  private readonly changedDigests = new Set<string>();
  private quarantine = decisions.EMPTY_QUARANTINE;
  private announcement: Promise<void> | undefined;
  private peerAddresses: readonly string[] = [];
  private remainingInitialExchanges = INITIAL_EXCHANGE_COUNT;
  private isExchanging = false;
  private exchangeUntilMs = -Infinity;

  /**
   * @param channel How changes reach the peers at once.
   * @param seed Seed of the random choice of peers.
   */
  constructor(channel: AnnouncementChannel, seed: number) {
    super();
    this.channel = channel;
    this.random = new base.RandomSource(seed);
  }

  protected override async onStart(): Promise<void> {
    const subscriber = this.getAddress();
    switch (this.channel.kind) {
      case 'members': {
        const members = this.getService(membersService.MEMBERS);
        members.post({kind: 'subscribe', subscriber});
        members.post({kind: 'subscribeSuspects', subscriber});
        break;
      }
      case 'fleet':
        this.getService(fleetService.FLEET).post({
          kind: 'subscribe',
          subscriber,
        });
        break;
      default:
        errors.throwUnreachable(this.channel);
    }
    this.postEvery(EXCHANGE_INTERVAL_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.QuarantineMessage): void {
    switch (message.kind) {
      case 'admitAttempt':
        message.reply(this.admitAttempt(message.repeatable));
        return;
      case 'previewAttempt':
        message.reply(
          decisions.decideAttempt(
            this.quarantine,
            getDigestHex(message.repeatable),
            this.nowMs(),
          ),
        );
        return;
      case 'recordAnswer':
        this.recordAnswer(message.repeatable);
        return;
      case 'recordBreak':
        void this.recordBreak(message).then(message.reply);
        return;
      case 'exchangeSuspects':
        this.mergeReports(message.suspects);
        message.reply(this.getReports());
        return;
      case 'suspectsAnnounced':
        this.mergeReports(message.suspects);
        return;
      case 'membersChanged':
        this.setPeers(
          message.peerStatuses.map(({member}) => member.peersAddress),
        );
        return;
      case 'fleetChanged': {
        const {self, servingVms} = message.view;
        this.setPeers(
          servingVms
            .filter(vm => vm.processId !== self.processId)
            .map(vm => vm.peersAddress),
        );
        return;
      }
      case 'tick':
        if (this.nowMs() < this.exchangeUntilMs) void this.exchange();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private admitAttempt(
    repeatable: messages.RepeatableRequest,
  ): messages.AttemptAdmission {
    if (this.quarantine.size === 0)
      return {kind: 'admitted', mark: decisions.UNSUSPECTED};
    const nowMs = this.nowMs();
    const digestHex = getDigestHex(repeatable);
    const admission = decisions.decideAttempt(
      this.quarantine,
      digestHex,
      nowMs,
    );
    switch (admission.kind) {
      case 'admitted':
        return admission;
      case 'quarantined':
        this.count('requests_quarantined');
        return admission;
      case 'trial': {
        const {mark} = admission;
        const suspect = this.quarantine.get(digestHex);
        if (suspect !== undefined)
          void this.recordChange(decisions.applyTrial(suspect, nowMs));
        this.log('info', 'requestTried', {
          digest: digestHex,
          crashes: mark.crashCount,
        });
        return {kind: 'admitted', mark};
      }
      default:
        return errors.throwUnreachable(admission);
    }
  }

  private recordAnswer(repeatable: messages.RepeatableRequest): void {
    if (this.quarantine.size === 0) return;
    const suspect = this.quarantine.get(getDigestHex(repeatable));
    if (suspect === undefined || suspect.crashCount === 0) return;
    if (decisions.isQuarantined(suspect))
      this.log('info', 'requestReleased', {digest: suspect.requestDigestHex});
    void this.recordChange(decisions.applyAnswer(suspect));
  }

  private async recordBreak({
    repeatable,
    mark,
    upstream,
  }: Extract<
    messages.QuarantineMessage,
    {kind: 'recordBreak'}
  >): Promise<void> {
    this.count('upstream_breaks');
    if (!(await this.detector.hasCrashed(upstream))) return;
    const digestHex = getDigestHex(repeatable);
    const suspect = decisions.applyCrash(
      this.quarantine.get(digestHex),
      digestHex,
      mark,
      upstream.upstreamId,
      this.nowMs(),
    );
    this.log('warn', 'requestSuspected', {
      upstream: upstream.upstreamId,
      digest: digestHex,
      crashes: suspect.crashCount,
      upstreams: suspect.upstreamIds.length,
      quarantined: decisions.isQuarantined(suspect),
    });
    await Promise.race([
      this.recordChange(suspect),
      this.wait(MAX_ANNOUNCEMENT_WAIT_MS),
    ]);
  }

  /** Records what has become known here, and announces it. Resolves when the peers have been told. */
  private recordChange(suspect: decisions.SuspectRequest): Promise<void> {
    const nowMs = this.nowMs();
    this.quarantine = decisions.recordSuspects(
      this.quarantine,
      [suspect],
      nowMs,
    );
    this.exchangeUntilMs = nowMs + RECENT_CHANGE_MS;
    this.changedDigests.add(suspect.requestDigestHex);
    this.announcement ??= this.wait(ANNOUNCEMENT_DELAY_MS).then(() =>
      this.announceChanges(),
    );
    return this.announcement;
  }

  private async announceChanges(): Promise<void> {
    this.announcement = undefined;
    const changed = [...this.changedDigests].flatMap(
      digestHex => this.quarantine.get(digestHex) ?? [],
    );
    this.changedDigests.clear();
    const suspects = encodeSuspects(changed, this.nowMs());
    switch (this.channel.kind) {
      case 'members':
        this.getService(membersService.MEMBERS).post({
          kind: 'announceSuspects',
          suspects,
        });
        return;
      case 'fleet':
        await Promise.all(
          this.peerAddresses.map(peer => this.callPeer(peer, suspects)),
        );
        return;
      default:
        errors.throwUnreachable(this.channel);
    }
  }

  private setPeers(addresses: readonly string[]): void {
    this.peerAddresses = addresses;
    if (this.remainingInitialExchanges > 0) void this.exchange();
  }

  /** Exchanges the suspects with a random peer; a new process learns in this way what the others know. */
  private async exchange(): Promise<void> {
    if (this.isExchanging || this.peerAddresses.length === 0) return;
    this.isExchanging = true;
    const index = Math.floor(this.random.draw() * this.peerAddresses.length);
    const isAnswered = await this.callPeer(
      this.peerAddresses[index],
      this.getReports(),
    );
    this.isExchanging = false;
    if (isAnswered) this.remainingInitialExchanges -= 1;
  }

  /** Reports suspects to a peer and merges those that it answers with. Returns whether it answered. */
  private async callPeer(
    peersAddress: string,
    suspects: readonly peers.SuspectReport[],
  ): Promise<boolean> {
    const result = await this.getService(
      peersService.PEERS,
    ).ask<peersService.CallResult>(reply => ({
      kind: 'call',
      peersAddress,
      request: {kind: 'exchangeSuspects', suspects},
      deadlineMs: this.nowMs() + PEER_TIMEOUT_MS,
      reply,
    }));
    if (result.kind !== 'answered' || result.answer.kind !== 'suspects')
      return false;
    this.mergeReports(result.answer.suspects);
    return true;
  }

  private mergeReports(reports: readonly peers.SuspectReport[]): void {
    if (reports.length === 0) return;
    const nowMs = this.nowMs();
    const merged = reports.map(report =>
      decisions.mergeSuspects(
        this.quarantine.get(report.requestDigestHex),
        decodeSuspect(report, nowMs),
      ),
    );
    const news = merged.filter(suspect =>
      decisions.isNewer(this.quarantine.get(suspect.requestDigestHex), suspect),
    );
    for (const suspect of news)
      if (decisions.isQuarantined(suspect))
        this.log('info', 'requestQuarantined', {
          digest: suspect.requestDigestHex,
          crashes: suspect.crashCount,
        });
    this.quarantine = decisions.recordSuspects(this.quarantine, merged, nowMs);
    // Passes the news on, but does not keep up exchanges for what all peers know.
    if (news.length > 0)
      this.exchangeUntilMs = Math.max(
        this.exchangeUntilMs,
        nowMs + 2 * EXCHANGE_INTERVAL_MS,
      );
  }

  private getReports(): readonly peers.SuspectReport[] {
    const suspects = decisions.chooseReportedSuspects(
      this.quarantine,
      MAX_EXCHANGED_SUSPECTS,
    );
    return encodeSuspects(suspects, this.nowMs());
  }

  private wait(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      this.getContext().timers.after(delayMs, resolve);
    });
  }
}

function getDigestHex({
  request,
  organisationId,
}: messages.RepeatableRequest): string {
  return codecs.getRequestDigestHex(request, organisationId);
}

function encodeSuspects(
  suspects: readonly decisions.SuspectRequest[],
  nowMs: number,
): readonly peers.SuspectReport[] {
  return suspects.map(
    ({
      requestDigestHex,
      generation,
      crashCount,
      upstreamIds,
      nextTrialAtMs,
      expiresAtMs,
    }) => ({
      requestDigestHex,
      generation,
      crashCount,
      upstreamIds,
      trialInMs: Math.max(0, nextTrialAtMs - nowMs),
      expiresInMs: Math.max(0, expiresAtMs - nowMs),
    }),
  );
}

function decodeSuspect(
  report: peers.SuspectReport,
  nowMs: number,
): decisions.SuspectRequest {
  const {requestDigestHex, generation, crashCount, upstreamIds} = report;
  return {
    requestDigestHex,
    generation,
    crashCount,
    upstreamIds,
    nextTrialAtMs: nowMs + report.trialInMs,
    expiresAtMs:
      nowMs + Math.min(report.expiresInMs, decisions.SUSPECT_EXPIRY_MS),
  };
}
