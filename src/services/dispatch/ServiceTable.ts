import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as contexts from './DispatchContext.js';

/** The configuration and the retry budget of one service. */
interface ServiceState {
  readonly service: entry.EntryService;
  readonly retryBudget: decisions.ServiceRetryBudget;
}

/** The configured services with their retry budgets. */
export class ServiceTable {
  private readonly bounds: entry.EntryBounds;
  private readonly context: contexts.DispatchContext;
  private readonly services = new Map<string, ServiceState>();

  /**
   * @param bounds Bounds the retries of all VMs to one service.
   * @param context The clock and metrics of the task.
   */
  constructor(bounds: entry.EntryBounds, context: contexts.DispatchContext) {
    this.bounds = bounds;
    this.context = context;
  }

  /** Replaces the configurations of services; services that are already known keep their retry budgets. */
  setServices(services: readonly entry.EntryService[]): void {
    const nowMs = this.context.nowMs();
    for (const service of services) {
      const existing = this.services.get(service.serviceId);
      this.services.set(service.serviceId, {
        retryBudget: decisions.createServiceRetryBudget(
          this.getRetryBounds(),
          nowMs,
        ),
        ...existing,
        service,
      });
    }
  }

  /** Gets the identifiers of all services. */
  getServiceIds(): readonly string[] {
    return [...this.services.keys()];
  }

  /** Gets how many requests a second all VMs together may send to a cold upstream of a service; 0 if it is unknown. */
  getColdRate(serviceId: string): number {
    return this.services.get(serviceId)?.service.coldRatePerSecond ?? 0;
  }

  /** Gets how long an upstream of a service stays cold after its start, in milliseconds; 0 if the service is unknown. */
  getColdMs(serviceId: string): number {
    return this.services.get(serviceId)?.service.coldMs ?? 0;
  }

  /** Gets the retry budget of a service; undefined if the service is unknown. */
  getRetryBudget(serviceId: string): decisions.ServiceRetryBudget | undefined {
    return this.services.get(serviceId)?.retryBudget;
  }

  /** Adds to a service's budget the retries that one request earns. */
  creditRetryBudget(serviceId: string): void {
    const state = this.services.get(serviceId);
    if (state === undefined) return;
    const retryBudget = decisions.earnServiceRetries(
      state.retryBudget,
      this.getRetryBounds(),
      this.context.nowMs(),
    );
    this.services.set(serviceId, {...state, retryBudget});
  }

  /** Subtracts one retry from a service's budget and counts it. */
  spendRetry(serviceId: string): void {
    const state = this.services.get(serviceId);
    if (state === undefined) return;
    const retryBudget = decisions.spendServiceRetry(state.retryBudget);
    this.services.set(serviceId, {...state, retryBudget});
    this.context.count('upstream_retries');
  }

  private getRetryBounds(): decisions.RetryBounds {
    const {retryRatio, retrySlack, retryWindowMs} = this.bounds;
    return {
      ratio: retryRatio,
      slack: retrySlack,
      windowMs: retryWindowMs,
      memberCount: this.context.getMemberCount(),
    };
  }
}
