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

/** Starts each service after its dependencies, and stops the services in the reverse order. */
export class Kernel implements directories.ServiceDirectory {
  private readonly clock: time.Clock;
  private readonly timers: time.Timers;
  private readonly entries = new Map<string, ServiceEntry>();
  private startedEntries: ServiceEntry[] = [];

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

  /** Starts every service. @throws Error when dependencies form a cycle or are missing. */
  async start(): Promise<void> {
    for (const entry of this.getStartOrder()) {
      this.startedEntries.push(entry);
      const {clock, timers} = this;
      await entry.task.start({services: this, clock, timers});
    }
  }

  /** Stops every started service, each before the services it depends on. */
  async stop(): Promise<void> {
    const stopping = this.startedEntries.reverse();
    this.startedEntries = [];
    for (const entry of stopping) await entry.task.stop();
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
