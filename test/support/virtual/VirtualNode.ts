import * as kernel from '../../../src/kernel/index.js';
import type * as codecs from '../../../src/codecs/index.js';
import * as fleet from '../../../src/model/fleet/index.js';
import type * as platform from '../../../src/model/platform/index.js';
import * as services from '../../../src/services/index.js';
import type * as simulations from './Simulation.js';

const PLATFORM_DELAY_MS = 5;
const PLATFORM_TIMEOUT_MS = 2000;

/** The identity, slots and clock of a node. */
export interface VirtualNodeOptions {
  readonly vmId: string;
  readonly processId: string;
  readonly slotCount: number;

  /** Offset of the node's monotonic clock from the simulation's time, in milliseconds. */
  readonly clockOffsetMs: number;
}

/** The control plane of one daemon: the real tasks with a simulated network, platform and clock. */
export class VirtualNode {
  readonly address: string;
  readonly processId: string;
  readonly clock: kernel.Clock;
  readonly kernel: kernel.Kernel;

  private readonly fleet = new FleetSubscriber();
  private readonly configuration = new ConfigurationSubscriber();

  /** Whether the node's process runs; false after `kill`. */
  isAlive = true;

  /** Virtual time in milliseconds until which the process is suspended. */
  pausedUntilMs = 0;

  constructor(simulation: simulations.Simulation, options: VirtualNodeOptions) {
    this.address = `${options.vmId}:1`;
    this.processId = options.processId;
    this.clock = {
      monotonicMs: () => simulation.nowMs() + options.clockOffsetMs,
      wallMs: () => simulation.nowMs(),
    };
    this.kernel = new kernel.Kernel(this.clock, this.getTimers(simulation));
    this.addTasks(simulation, options);
  }

  /** Starts the tasks. */
  async start(): Promise<void> {
    const subscriber = this.fleet.getAddress();
    this.kernel
      .getOrThrow(services.FLEET)
      .post({kind: 'subscribe', subscriber});
    this.kernel.getOrThrow(services.CONFIGURATION).post({
      kind: 'subscribe',
      subscriber: this.configuration.getAddress(),
    });
    await this.kernel.start();
  }

  /** Returns the index of the slot that the node holds, or -1 if it holds none. */
  getSlotIndex(): number {
    const {view} = this.fleet;
    return view === undefined
      ? -1
      : (fleet.getSlotIndex(view.map, this.processId) ?? -1);
  }

  /** Returns the node's newest view of the fleet, or undefined before the first one. */
  getView(): services.FleetView | undefined {
    return this.fleet.view;
  }

  /** Returns the version of the configuration that is in force on this node; 0 before the first one. */
  getConfigurationVersion(): number {
    return this.configuration.version;
  }

  /** Returns whether the node's view of the fleet is recent enough to act on. */
  isFresh(): boolean {
    return services.isFresh(this.fleet.view, this.clock);
  }

  /** Ends the process abruptly; none of its scheduled actions run afterwards. */
  kill(): void {
    this.isAlive = false;
  }

  /** Requests admission for one request of an organisation. */
  async admit(organisationId: string): Promise<services.AdmissionResult> {
    return await this.kernel
      .getOrThrow(services.LIMITS)
      .ask<services.AdmissionResult>(reply => ({
        kind: 'admit',
        organisationId,
        deadlineMs: this.clock.monotonicMs() + 1500,
        reply,
      }));
  }

  /** Applies a merge patch to version `baseVersion` of the configuration through this node. */
  async patch(
    baseVersion: number,
    patch: object,
    changeId: string,
  ): Promise<services.PatchResult> {
    return await this.kernel
      .getOrThrow(services.CONFIGURATION)
      .ask<services.PatchResult>(reply => ({
        kind: 'patch',
        command: {
          baseVersion,
          patch: {kind: 'mergePatch', patch},
          operatorId: 'tester',
          changeId,
          isDryRun: false,
        },
        reply,
      }));
  }

  private addTasks(
    simulation: simulations.Simulation,
    options: VirtualNodeOptions,
  ): void {
    const {vmId, processId, slotCount} = options;
    const platformAdapter = new VirtualPlatform(simulation, this);
    this.kernel
      .add(services.LOG, new IdleTask<services.LogMessage>())
      .add(services.METRICS, new IdleTask<services.MetricsMessage>())
      .add(services.PLATFORM, new services.PlatformTask(platformAdapter))
      .add(services.PEERS, new VirtualPeersTask(simulation, this))
      .add(services.CONFIGURATION, new services.ConfigurationTask())
      .add(services.LIMITS, new services.LimitsTask())
      .add(
        services.OPERATIONS,
        new services.OperationsTask(processId, this.address),
      )
      .add(services.CALLERS, new IdleTask<services.CallersMessage>())
      .add(
        services.FLEET,
        new services.FleetTask({
          identity: {vmId, processId, region: 'r', failureDomain: 'd'},
          slotCount,
          advertised: {callersAddress: vmId, peersAddress: this.address},
        }),
      );
  }

  private getTimers(simulation: simulations.Simulation): kernel.Timers {
    const after = (delayMs: number, action: () => void) => {
      let isCancelled = false;
      simulation.scheduleOnNode(this, simulation.nowMs() + delayMs, () => {
        if (!isCancelled) action();
      });
      return () => {
        isCancelled = true;
      };
    };
    const every = (intervalMs: number, action: () => void) => {
      let cancel: kernel.CancelTimer = () => {};
      const repeat = () => {
        action();
        cancel = after(intervalMs, repeat);
      };
      cancel = after(intervalMs * simulation.getRandom(), repeat);
      return () => cancel();
    };
    return {after, every};
  }
}

/** Subscribes to the fleet service and stores the newest view. */
class FleetSubscriber extends kernel.Task<services.FleetChanged> {
  view: services.FleetView | undefined;

  protected override receive(message: services.FleetChanged): void {
    this.view = message.view;
  }
}

/** Subscribes to the configuration service and stores the version in force. */
class ConfigurationSubscriber extends kernel.Task<services.ConfigurationChanged> {
  version = 0;

  protected override receive(message: services.ConfigurationChanged): void {
    this.version = message.configuration.version;
  }
}

/** Replaces a service; ignores all messages. */
class IdleTask<M> extends kernel.Task<M> {
  protected override receive(): void {}
}

/** Replaces the peers service: sends calls over the virtual network. */
class VirtualPeersTask extends kernel.Task<services.PeersMessage> {
  private readonly simulation: simulations.Simulation;
  private readonly node: VirtualNode;

  constructor(simulation: simulations.Simulation, node: VirtualNode) {
    super();
    this.simulation = simulation;
    this.node = node;
  }

  protected override receive(message: services.PeersMessage): void {
    switch (message.kind) {
      case 'call':
        this.simulation.deliverCall(this.node, message);
        return;
      case 'getAddress':
        message.reply(this.node.address);
        return;
    }
  }
}

/** One node's access to the simulated platform, with the faults that are set for the node. */
class VirtualPlatform implements services.PlatformAdapter {
  private readonly simulation: simulations.Simulation;
  private readonly node: VirtualNode;

  constructor(simulation: simulations.Simulation, node: VirtualNode) {
    this.simulation = simulation;
    this.node = node;
  }

  read(request: codecs.ReadRequest): Promise<platform.ReadResult> {
    return this.call(() => this.simulation.platform.read(request), {
      kind: 'unavailable',
    });
  }

  transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult> {
    return this.call(
      () => this.simulation.platform.transact(transaction),
      {kind: 'unavailable'},
      {kind: 'outcomeUnknown'},
    );
  }

  putObject(name: string, text: string): Promise<platform.PutResult> {
    return this.call(() => this.simulation.platform.putObject(name, text), {
      kind: 'unavailable',
    });
  }

  getObject(name: string): Promise<platform.ObjectResult> {
    return this.call(() => this.simulation.platform.getObject(name), {
      kind: 'unavailable',
    });
  }

  listVms(): Promise<platform.VmListResult> {
    return this.call(() => this.simulation.platform.listVms(), {
      kind: 'unavailable',
    });
  }

  async close(): Promise<void> {}

  /**
   * Calls the platform with a delay and with the fault that applies to the node.
   * @param refused The result when the platform did not run the call.
   * @param lost The result when the answer was lost and the call may have run.
   */
  private call<R>(
    action: () => Promise<R>,
    refused: R,
    lost: R = refused,
  ): Promise<R> {
    return new Promise(resolve => {
      const {simulation, node} = this;
      const finish = (result: R, delayMs: number) =>
        simulation.scheduleOnNode(node, simulation.nowMs() + delayMs, () =>
          resolve(result),
        );
      simulation.at(simulation.nowMs() + PLATFORM_DELAY_MS, () => {
        const fault = simulation.getPlatformFault(node.address);
        switch (fault) {
          case 'none':
            void action().then(result => finish(result, PLATFORM_DELAY_MS));
            return;
          case 'refuse':
            finish(refused, PLATFORM_DELAY_MS);
            return;
          case 'hang':
            finish(lost, PLATFORM_TIMEOUT_MS);
            return;
          case 'loseAnswers':
            void action().then(() => finish(lost, PLATFORM_TIMEOUT_MS));
            return;
        }
      });
    });
  }
}
