import * as codecs from '../../codecs/index.js';
import * as kernel from '../../kernel/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as platform from '../../model/platform/index.js';
import * as base from '../base/index.js';
import * as fleetService from '../fleet/FleetMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as platformService from '../platform/index.js';
import * as changes from './changeConfiguration.js';
import type * as messages from './ConfigurationMessage.js';
import * as history from './readHistory.js';

const POLL_INTERVAL_MS = 1000;
const PEER_TIMEOUT_MS = 1000;

/** Maximum time in milliseconds for which a command waits until its change is in force on every VM. */
const SPREAD_TIMEOUT_MS = 5000;

/** Keeps the newest configuration, read from the platform's table or from a peer, and commits operators' changes. */
export class ConfigurationTask extends base.ServiceTask<messages.ConfigurationMessage> {
  private readonly subscribers: kernel.Address<messages.ConfigurationChanged>[] =
    [];
  private currentConfiguration: configurations.Configuration =
    configurations.EMPTY_CONFIGURATION;
  private isPolling = false;
  private isFetchingFromPeer = false;

  protected override async onStart(): Promise<void> {
    this.postEvery(POLL_INTERVAL_MS, {kind: 'poll'});
  }

  protected override receive(message: messages.ConfigurationMessage): void {
    switch (message.kind) {
      case 'subscribe':
        this.subscribers.push(message.subscriber);
        return;
      case 'poll':
        void this.poll();
        return;
      case 'newerAtPeer':
        void this.poll().then(() => this.fetchFromPeer(message.peersAddress));
        return;
      case 'getCurrent':
        message.reply(this.currentConfiguration);
        return;
      case 'patch':
        void this.patch(message.command).then(message.reply);
        return;
      case 'history':
        void history
          .readHistory(
            this.getContext().services,
            message.afterVersion,
            message.limit,
          )
          .then(message.reply);
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /**
   * Reads the configuration and the fleet map from the platform's table, unless a read is already running. The fleet
   * service uses the time of a successful read to determine until when this process may rely on its data.
   */
  private async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    try {
      await this.readTable();
    } catch (thrown) {
      this.logReadError(errors.toError(thrown));
    } finally {
      this.isPolling = false;
    }
  }

  private async readTable(): Promise<void> {
    const {services, clock} = this.getContext();
    const sentAtMs = clock.monotonicMs();
    const result = await services
      .getOrThrow(platformService.PLATFORM)
      .ask<platform.ReadResult>(reply => ({
        kind: 'read',
        request: {
          kind: 'keys',
          keys: [codecs.HEAD_ROW_KEY, codecs.FLEET_ROW_KEY],
        },
        reply,
      }));
    if (result.kind === 'unavailable') return;
    const headRow = result.rows.find(row => row.key === codecs.HEAD_ROW_KEY);
    const fleetRow = result.rows.find(row => row.key === codecs.FLEET_ROW_KEY);
    if (headRow !== undefined) await this.loadVersion(headRow);
    services.getOrThrow(fleetService.FLEET).post({
      kind: 'tableRead',
      sentAtMs,
      fleetRow,
      configurationVersion: this.currentConfiguration.version,
    });
  }

  /** Loads and applies the version that the head row refers to. @throws BramleyrunError when it can't be read. */
  private async loadVersion(headRow: platform.TableRow): Promise<void> {
    const head = codecs.parseJsonOrThrow(
      codecs.headRowSchema,
      headRow.value,
      'invalidRow',
    );
    if (head.version <= this.currentConfiguration.version) return;
    const services = this.getContext().services;
    const document = await changes.readDocument(services, head);
    this.applyConfiguration({version: head.version, document});
  }

  private async fetchFromPeer(peersAddress: string): Promise<void> {
    if (this.isFetchingFromPeer) return;
    this.isFetchingFromPeer = true;
    const {services, clock} = this.getContext();
    const deadlineMs = clock.monotonicMs() + PEER_TIMEOUT_MS;
    const result = await services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress,
        request: {kind: 'getSharedState'},
        deadlineMs,
        reply,
      }));
    this.isFetchingFromPeer = false;
    if (result.kind !== 'answered' || result.answer.kind !== 'sharedState')
      return;
    const {configuration, fleetMap} = result.answer;
    this.applyConfiguration(configuration);
    const fleet = services.getOrThrow(fleetService.FLEET);
    if (fleetMap) fleet.post({kind: 'mapReceived', map: fleetMap});
  }

  /** Makes a version the current one and notifies the subscribers; ignores any version that is not newer. */
  private applyConfiguration(
    configuration: configurations.Configuration,
  ): void {
    if (configuration.version <= this.currentConfiguration.version) return;
    this.currentConfiguration = configuration;
    const {services} = this.getContext();
    for (const subscriber of this.subscribers)
      subscriber.post({kind: 'configurationChanged', configuration});
    services.getOrThrow(fleetService.FLEET).post({
      kind: 'configurationApplied',
      version: configuration.version,
    });
    const {version} = configuration;
    this.log('info', 'configurationApplied', {version});
  }

  private async patch(
    command: messages.PatchCommand,
  ): Promise<messages.PatchResult> {
    try {
      return await this.patchOrThrow(command);
    } catch (thrown) {
      return {kind: 'failed', error: errors.toError(thrown)};
    }
  }

  private async patchOrThrow(
    command: messages.PatchCommand,
  ): Promise<messages.PatchResult> {
    const {services, clock} = this.getContext();
    const newest = await changes.readNewestOrThrow(
      services,
      this.currentConfiguration,
    );
    this.applyConfiguration(newest.configuration);
    if (newest.configuration.version !== command.baseVersion) {
      const settled = await changes.findCommittedVersion(services, command);
      if (settled !== undefined) return await this.awaitSpread(settled);
      return errors.throwError(
        'versionConflict',
        `the configuration is at version ${newest.configuration.version}, not ${command.baseVersion}`,
        'baseVersion',
      );
    }
    const next = {
      version: command.baseVersion + 1,
      document: codecs.applyPatch(newest.configuration.document, command.patch),
    };
    if (command.isDryRun) return {kind: 'valid', configuration: next};
    const changedAtMs = clock.wallMs();
    await changes.commitOrThrow(services, newest, next, command, changedAtMs);
    this.applyConfiguration(next);
    return await this.awaitSpread(next.version);
  }

  private async awaitSpread(version: number): Promise<messages.PatchResult> {
    const {services, clock} = this.getContext();
    const deadlineMs = clock.monotonicMs() + SPREAD_TIMEOUT_MS;
    const spread = await services
      .getOrThrow(fleetService.FLEET)
      .ask<fleetService.VersionSpread>(reply => ({
        kind: 'awaitVersion',
        version,
        deadlineMs,
        reply,
      }));
    return {kind: 'committed', version, spread};
  }

  private logReadError(error: errors.BramleyrunError): void {
    const {kind, message} = error;
    this.log('error', 'configurationRejected', {error: kind, message});
  }
}
