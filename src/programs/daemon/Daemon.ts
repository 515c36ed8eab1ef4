import * as crypto from 'node:crypto';
import type * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as services from '../../services/index.js';

/** The addresses on which a running daemon listens, each as host:port. */
export interface DaemonAddresses {
  readonly callersAddress: string;
  readonly operatorsAddress: string;
  readonly peersAddress: string;
  readonly metricsAddress: string;
}

/** The result of starting a daemon. */
export type DaemonStart =
  | {readonly kind: 'running'; readonly addresses: DaemonAddresses}
  /** A stop began before all services had started. */
  | {readonly kind: 'stopped'};

const BYTES_PER_MB = 1_000_000;

/** The services of one entry VM, run by one kernel. */
export class Daemon {
  private readonly settings: codecs.Settings;
  private readonly processId = crypto.randomUUID();
  private readonly kernel = new kernel.Kernel();
  private readonly memory: services.AnswerMemory;
  private readonly operators: services.OperatorsTask;
  private readonly metrics: services.MetricsTask;

  /** @param settings The contents of the daemon's settings file. */
  constructor(settings: codecs.Settings) {
    this.settings = settings;
    const {listeners} = settings;
    const memoryBytes = settings.memory.limitMb * BYTES_PER_MB;
    this.memory = services.createAnswerMemory(this.kernel, memoryBytes);
    this.operators = new services.OperatorsTask(
      listeners.operators,
      settings.operators,
      this.memory,
    );
    this.metrics = new services.MetricsTask(listeners.metrics, this.memory);
    this.addBaseServices();
    this.addRequestServices(memoryBytes);
    this.addFleetService();
  }

  /** Starts all services, unless a stop begins meanwhile; returns the addresses of their listeners. */
  async start(): Promise<DaemonStart> {
    const result = await this.kernel.start();
    switch (result.kind) {
      case 'running':
        return {kind: 'running', addresses: await this.getAddresses()};
      case 'stopped':
        return {kind: 'stopped'};
      default:
        return errors.throwUnreachable(result);
    }
  }

  /** Leaves the fleet, finishes the requests in progress and stops all services. */
  async stop(): Promise<void> {
    this.log('daemonStopping', {});
    await this.kernel.stop();
  }

  private async getAddresses(): Promise<DaemonAddresses> {
    const callersAddress = await this.kernel
      .getOrThrow(services.CALLERS)
      .ask<string>(reply => ({kind: 'getAddress', reply}));
    const peersAddress = await this.kernel
      .getOrThrow(services.PEERS)
      .ask<string>(reply => ({kind: 'getAddress', reply}));
    this.log('daemonStarted', {callersAddress, peersAddress});
    return {
      callersAddress,
      peersAddress,
      operatorsAddress: this.operators.getListenerAddress(),
      metricsAddress: this.metrics.getListenerAddress(),
    };
  }

  private addBaseServices(): void {
    const {settings} = this;
    this.kernel
      .add(
        services.LOG,
        new services.LogTask(settings.log.level, settings.vm.vmId),
      )
      .add(services.METRICS, this.metrics, [services.LOG])
      .add(
        services.PLATFORM,
        new services.PlatformTask(createPlatformAdapter(settings.platform)),
        [services.METRICS],
      )
      .add(
        services.PEERS,
        new services.PeersTask(
          settings.listeners.peers,
          settings.peerSecret,
          this.memory,
        ),
        [services.METRICS],
      )
      .add(services.CONFIGURATION, new services.ConfigurationTask(), [
        services.PLATFORM,
        services.PEERS,
      ]);
  }

  private addRequestServices(memoryBytes: number): void {
    const {settings} = this;
    const seed = crypto.randomInt(2 ** 31);
    this.kernel
      .add(services.LIMITS, new services.LimitsTask(), [services.PEERS])
      .add(
        services.OPERATIONS,
        new services.OperationsTask(
          this.processId,
          settings.advertised.peersAddress,
        ),
        [services.PLATFORM, services.PEERS],
      )
      .add(
        services.QUARANTINE,
        new services.QuarantineTask({kind: 'fleet'}, seed),
        [services.PEERS],
      )
      .add(
        services.UPSTREAMS,
        new services.UpstreamsTask(
          settings.vm,
          seed,
          decisions.getMaxHeldBodyBytes('answer', memoryBytes),
        ),
        [services.PEERS, services.QUARANTINE],
      )
      .add(
        services.CALLERS,
        new services.CallersTask(
          settings.listeners.callers,
          this.memory,
          decisions.getMaxHeldBodyBytes('request', memoryBytes),
        ),
        [
          services.LIMITS,
          services.OPERATIONS,
          services.UPSTREAMS,
          services.CONFIGURATION,
        ],
      )
      .add(services.OPERATORS, this.operators, [services.CONFIGURATION]);
  }

  private addFleetService(): void {
    const {settings} = this;
    const fleet = new services.FleetTask({
      identity: {...settings.vm, processId: this.processId},
      slotCount: settings.fleet.slotCount,
      advertised: settings.advertised,
    });
    this.kernel.add(services.FLEET, fleet, [
      services.CALLERS,
      services.OPERATORS,
    ]);
  }

  private log(name: services.EventName, fields: services.LogFields): void {
    this.kernel
      .getOrThrow(services.LOG)
      .post({kind: 'event', level: 'info', name, fields});
  }
}

function createPlatformAdapter(
  settings: codecs.PlatformSettings,
): services.PlatformAdapter {
  switch (settings.kind) {
    case 'embedded':
      return new services.EmbeddedPlatform();
    case 'http':
      return new services.HttpPlatform(settings.url);
    default:
      return errors.throwUnreachable(settings);
  }
}
