import * as crypto from 'node:crypto';
import * as codecs from '../../codecs/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as services from '../../services/index.js';

/** How a platform is met: what a deployment brings beside its settings. */
export interface EntryAdapters {
  readonly store: services.StoreAdapter;
  readonly wire: codecs.WireCodec;
  readonly steering: services.SteeringCodec;
}

/** The platform hands out no secret; its network lets only VMs of the fleet reach the peers' listener. */
const NETWORK_SECRET = 'entry-vms';

/** All services of one entry VM that meets a platform's store. */
export class EntryDaemon {
  private readonly settings: entry.EntrySettings;
  private readonly adapters: EntryAdapters;
  private readonly kernel = new kernel.Kernel();

  /** @param settings What the process learns at its start. */
  constructor(settings: entry.EntrySettings, adapters: EntryAdapters) {
    this.settings = settings;
    this.adapters = adapters;
    this.addBasics();
    this.addRequestPath();
  }

  /** Starts every service. */
  async start(): Promise<void> {
    await this.kernel.start();
    this.log('daemonStarted', {region: this.settings.region});
  }

  /** Leaves the fleet, finishes all requests and stops every service. */
  async stop(): Promise<void> {
    this.log('daemonStopping', {});
    await this.kernel.stop();
  }

  /** Logs that the settings file was said to have changed. */
  noteReload(): void {
    this.log('settingsReloaded', {});
  }

  private addBasics(): void {
    const {settings, adapters} = this;
    this.kernel
      .add(
        services.LOG,
        new services.LogTask(
          settings.logLevel,
          settings.vmId,
          process.stdout.fd,
        ),
      )
      .add(services.METRICS, new services.MetricsTask(settings.metrics), [
        services.LOG,
      ])
      .add(services.STORE, new services.StoreTask(adapters.store), [
        services.METRICS,
      ])
      .add(
        services.PEERS,
        new services.PeersTask(settings.peers, NETWORK_SECRET),
        [services.METRICS],
      )
      .add(
        services.MEMBERS,
        new services.MembersTask(getMember(settings), settings.peers),
        [services.STORE, services.PEERS],
      )
      .add(services.KNOWLEDGE, new services.KnowledgeTask(settings.bounds), [
        services.STORE,
        services.PEERS,
      ]);
  }

  private addRequestPath(): void {
    const {settings, adapters} = this;
    const {bounds, region, failureDomain} = settings;
    const dispatch = new services.DispatchTask({
      region,
      bounds,
      codec: adapters.wire,
      seed: crypto.randomInt(2 ** 31),
    });
    const steering = new services.SteeringListenerTask({
      place: {region, failureDomain},
      steering: settings.steering,
      readiness: settings.readiness,
      termMs: Math.min(STEERING_TERM_MS, bounds.steeringTermMs),
      codec: adapters.steering,
    });
    const task = new services.EntryTask({
      address: settings.callers,
      bounds,
      codec: adapters.wire,
      seed: crypto.randomInt(2 ** 31),
    });
    this.kernel
      .add(
        services.SHARES,
        new services.SharesTask(bounds, crypto.randomInt(2 ** 31)),
        [services.MEMBERS, services.PEERS],
      )
      .add(services.DISPATCH, dispatch, [services.MEMBERS, services.KNOWLEDGE])
      .add(services.STEERING_LISTENER, steering, [services.MEMBERS])
      .add(services.ENTRY, task, [
        services.SHARES,
        services.DISPATCH,
        services.STEERING_LISTENER,
      ]);
  }

  private log(name: services.EventName, fields: services.LogFields): void {
    this.kernel
      .getOrThrow(services.LOG)
      .post({kind: 'event', level: 'info', name, fields});
  }
}

/** How long callers keep a steering answer, in milliseconds: short beside a VM's leave, long beside a request. */
const STEERING_TERM_MS = 3000;

function getMember(settings: entry.EntrySettings): entry.MemberRecord {
  return {
    vmId: settings.vmId,
    processId: crypto.randomBytes(4).toString('hex'),
    region: settings.region,
    failureDomain: settings.failureDomain,
    callersAddress: codecs.formatSocketAddress(settings.callers),
    peersAddress: codecs.formatSocketAddress(settings.peers),
  };
}
