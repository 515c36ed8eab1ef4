import type * as messages from '../messages/index.js';
import * as time from '../time/index.js';
import type * as directories from './ServiceDirectory.js';
import type * as names from './ServiceName.js';
import * as tasks from './Task.js';

interface ServiceEntry {
  readonly name: string;
  readonly dependsOn: readonly string[];
  readonly task: tasks.Task<never>;
}

/** The result of starting the services. */
export type StartResult =
  /** Every service has started. */
  | {readonly kind: 'running'}
  /** A stop began first: no further service was started. */
  | {readonly kind: 'stopped'};

/** How far the services are; `started` lists those to stop, in the order in which they were started. */
type Lifecycle =
  | {readonly kind: 'idle'}
  | {
      readonly kind: 'starting';
      readonly started: readonly ServiceEntry[];

      /** Settles when the last one of `started` has started or failed. */
      readonly step: Promise<void>;
    }
  /** The start has ended, with the last service or with one that failed. */
  | {readonly kind: 'started'; readonly started: readonly ServiceEntry[]}
  | {
      readonly kind: 'stopping';

      /** Settles when all services have stopped. */
      readonly stopped: Promise<void>;
    };

/** Starts each service after its dependencies, and stops the services in the reverse order. */
export class Kernel implements directories.ServiceDirectory {
  private readonly clock: time.Clock;
  private readonly timers: time.Timers;
  private readonly entries = new Map<string, ServiceEntry>();
  private lifecycle: Lifecycle = {kind: 'idle'};

  /**
   * @param clock The clock passed to every task.
   * @param timers The timers passed to every task.
   */
  constructor(
    clock: time.Clock = new time.SystemClock(),
    timers: time.Timers = new time.SystemTimers(),
  ) {
    this.clock = clock;
    this.timers = timers;
  }

  /** Registers a service under a name. @throws Error when a service of that name exists already. */
  add<M>(
    name: names.ServiceName<M>,
    task: tasks.Task<M>,
    dependsOn: readonly names.ServiceName<never>[] = [],
  ): this {
    if (this.entries.has(name.name))
      throw new Error(`a service named ${name.name} exists already`);
    this.entries.set(name.name, {
      name: name.name,
      dependsOn: dependsOn.map(dependency => dependency.name),
      task: task as unknown as tasks.Task<never>,
    });
    return this;
  }

  /** Gets the address of a service, or undefined when no service has that name. */
  get<M>(name: names.ServiceName<M>): messages.Address<M> | undefined {
    const entry = this.entries.get(name.name);
    return entry?.task.getAddress() as messages.Address<M> | undefined;
  }

  /** Gets the address of a service. @throws Error when no service has that name. */
  getOrThrow<M>(name: names.ServiceName<M>): messages.Address<M> {
    const address = this.get(name);
    if (address === undefined) throw new Error(`no service ${name.name}`);
    return address;
  }

  /**
   * Starts every service, unless a stop begins meanwhile.
   *
   * @throws Error when dependencies form a cycle or are missing, when a service fails to start, or at a second call.
   */
  async start(): Promise<StartResult> {
    const order = this.getStartOrder();
    this.beginStart();
    try {
      for (const entry of order) await this.startUnlessStopping(entry);
    } catch (thrown) {
      this.endStart();
      throw thrown;
    }
    return this.endStart();
  }

  /**
   * Stops every started service, each before the services it depends on; repeated calls share one stop. A stop during
   * a start waits for the service that is being started and starts no further one. A service whose start failed is
   * stopped, too.
   *
   * @throws Error when a service failed to stop; the others are stopped all the same.
   */
  async stop(): Promise<void> {
    const {lifecycle} = this;
    switch (lifecycle.kind) {
      case 'idle':
        return await this.beginStop([], Promise.resolve());
      case 'starting':
        return await this.beginStop(lifecycle.started, lifecycle.step);
      case 'started':
        return await this.beginStop(lifecycle.started, Promise.resolve());
      case 'stopping':
        return await lifecycle.stopped;
      default:
        return lifecycle satisfies never;
    }
  }

  private beginStart(): void {
    const {lifecycle} = this;
    switch (lifecycle.kind) {
      case 'idle':
        this.lifecycle = {
          kind: 'starting',
          started: [],
          step: Promise.resolve(),
        };
        return;
      case 'starting':
      case 'started':
        throw new Error('the services have been started already');
      case 'stopping':
        return;
      default:
        return lifecycle satisfies never;
    }
  }

  private async startUnlessStopping(entry: ServiceEntry): Promise<void> {
    const {lifecycle, clock, timers} = this;
    switch (lifecycle.kind) {
      case 'starting': {
        const step = entry.task.start({services: this, clock, timers});
        const started = [...lifecycle.started, entry];
        this.lifecycle = {kind: 'starting', started, step};
        return await step;
      }
      case 'stopping':
        return;
      case 'idle':
      case 'started':
        throw new Error('no start is in progress');
      default:
        return lifecycle satisfies never;
    }
  }

  private endStart(): StartResult {
    const {lifecycle} = this;
    switch (lifecycle.kind) {
      case 'starting':
        this.lifecycle = {kind: 'started', started: lifecycle.started};
        return {kind: 'running'};
      case 'stopping':
        return {kind: 'stopped'};
      case 'idle':
      case 'started':
        throw new Error('no start is in progress');
    }
  }

  private async beginStop(
    started: readonly ServiceEntry[],
    lastStep: Promise<void>,
  ): Promise<void> {
    const stopped = stopAll(started, lastStep);
    this.lifecycle = {kind: 'stopping', stopped};
    await stopped;
  }

  private getStartOrder(): readonly ServiceEntry[] {
    const order: ServiceEntry[] = [];
    const visiting = new Set<string>();
    const visit = (name: string) => {
      const entry = this.entries.get(name);
      if (entry === undefined) throw new Error(`no service ${name}`);
      if (order.includes(entry)) return;
      if (visiting.has(name)) throw new Error(`service cycle at ${name}`);
      visiting.add(name);
      entry.dependsOn.forEach(visit);
      order.push(entry);
    };
    [...this.entries.keys()].forEach(visit);
    return order;
  }
}

/** Stops services in the reverse order of their start, once the last one has started or failed. */
async function stopAll(
  started: readonly ServiceEntry[],
  lastStep: Promise<void>,
): Promise<void> {
  await Promise.allSettled([lastStep]);
  const failures: unknown[] = [];
  for (const {task} of [...started].reverse())
    await task.stop().catch((thrown: unknown) => failures.push(thrown));
  if (failures.length > 0) throw failures[0];
}
