import * as crypto from 'node:crypto';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as services from '../../services/index.js';

/** The adapters between an entry VM and its platform; each platform has its own. */
export interface EntryAdapters {
  readonly storeAdapter: services.StoreAdapter;
  readonly wireCodec: codecs.WireCodec;
  readonly steeringCodec: services.SteeringCodec;
}

/**
 * The secret that VMs send to each other's peers' listener. The platform issues no secret, so this one is a constant;
 * the platform's network lets only VMs of the fleet reach the listener.
 */
const PEER_SECRET = 'entry-vms';

/** The services of one entry VM on a platform that has its own store. */
export class EntryDaemon {
  private readonly settings: entry.EntrySettings;
  private readonly adapters: EntryAdapters;
  private readonly kernel = new kernel.Kernel();
  private readonly memory: services.AnswerMemory;

  /**
   * @param settings The settings with which the process starts.
   * @param adapters The adapters to the platform on which the VM runs.
   */
  constructor(settings: entry.EntrySettings, adapters: EntryAdapters) {
    this.settings = settings;
    this.adapters = adapters;
    this.memory = services.createAnswerMemory(
      this.kernel,
      settings.memoryBytes,
    );
    this.addBaseServices();
    this.addRequestServices();
  }

  /** Starts all services, unless a stop begins meanwhile. */
  async start(): Promise<void> {
    const result = await this.kernel.start();
    switch (result.kind) {
      case 'running':
        this.log('daemonStarted', {region: this.settings.region});
        return;
      case 'stopped':
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Leaves the fleet, finishes the requests in progress and stops all services. */
  async stop(): Promise<void> {
    this.log('daemonStopping', {});
    await this.kernel.stop();
  }

  /** Logs a notice that the settings file has changed; the running process does not read the file again. */
  logReload(): void {
    this.log('settingsReloaded', {});
  }

  private addBaseServices(): void {
    const {settings, adapters} = this;
    const self = createMemberRecord(settings);
    this.kernel
      .add(
        services.LOG,
        new services.LogTask(
          settings.logLevel,
          settings.vmId,
          process.stdout.fd,
        ),
      )
      .add(
        services.METRICS,
        new services.MetricsTask(settings.metrics, this.memory),
        [services.LOG],
      )
      .add(services.STORE, new services.StoreTask(adapters.storeAdapter), [
        services.METRICS,
      ])
      .add(
        services.PEERS,
        new services.PeersTask(settings.peers, PEER_SECRET, this.memory),
        [services.METRICS],
      )
      .add(
        services.MEMBERS,
        new services.MembersTask(self, settings.peers, settings.capacity),
        [services.STORE, services.PEERS],
      )
      .add(
        services.KNOWLEDGE,
        new services.KnowledgeTask(
          settings.bounds,
          crypto.randomInt(2 ** 31) / 2 ** 31,
        ),
        [services.STORE, services.PEERS],
      )
      .add(services.READERS, new services.ReadersTask(self), [
        services.KNOWLEDGE,
        services.MEMBERS,
        services.PEERS,
      ]);
  }

  private addRequestServices(): void {
    const {settings, adapters} = this;
    const {bounds, admission, loadSpread, region, failureDomain, memoryBytes} =
      settings;
    const dispatch = new services.DispatchTask({
      region,
      bounds,
      admission,
      loadSpread,
      codec: adapters.wireCodec,
      seed: crypto.randomInt(2 ** 31),
      maxHeldBodyBytes: decisions.getMaxHeldBodyBytes('answer', memoryBytes),
    });
    const steering = new services.SteeringListenerTask({
      location: {region, failureDomain},
      steering: settings.steering,
      readiness: settings.readiness,
      termMs: Math.min(STEERING_ANSWER_TTL_MS, bounds.maxSteeringTtlMs),
      codec: adapters.steeringCodec,
      memory: this.memory,
    });
    const entryTask = new services.EntryTask({
      address: settings.callers,
      bounds,
      admission,
      codec: adapters.wireCodec,
      seed: crypto.randomInt(2 ** 31),
      memory: this.memory,
      maxHeldBodyBytes: decisions.getMaxHeldBodyBytes('request', memoryBytes),
    });
    this.kernel
      .add(
        services.SHARES,
        new services.SharesTask(bounds, crypto.randomInt(2 ** 31)),
        [services.MEMBERS, services.PEERS],
      )
      .add(
        services.QUARANTINE,
        new services.QuarantineTask(
          {kind: 'members'},
          crypto.randomInt(2 ** 31),
        ),
        [services.MEMBERS, services.PEERS],
      )
      .add(services.PLACEMENT, new services.PlacementTask(region), [
        services.MEMBERS,
        services.STORE,
      ])
      .add(services.DISPATCH, dispatch, [
        services.PLACEMENT,
        services.MEMBERS,
        services.KNOWLEDGE,
        services.QUARANTINE,
      ])
      .add(services.STEERING_LISTENER, steering, [services.MEMBERS])
      .add(services.ENTRY, entryTask, [
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

/**
 * The time for which callers may use a steering answer: short compared with the time that a VM takes to leave the
 * fleet, and long compared with a request.
 */
const STEERING_ANSWER_TTL_MS = 3000;

function createMemberRecord(settings: entry.EntrySettings): entry.MemberRecord {
  return {
    vmId: settings.vmId,
    processId: crypto.randomBytes(4).toString('hex'),
    region: settings.region,
    failureDomain: settings.failureDomain,
    callersAddress: codecs.formatSocketAddress(settings.callers),
    peersAddress: codecs.formatSocketAddress(settings.peers),
  };
}
