/** Who may use a route. */
export type RouteAccess = 'open' | 'keyed';

/** How often a request of a route may run. */
export type RouteExecution = 'idempotent' | 'atMostOnce';

/** A set of paths and the service behind it. */
export interface Route {
  /** The prefix of the request path; the longest match wins. */
  readonly pathPrefix: string;

  /** The service that runs the requests. */
  readonly serviceId: string;

  /** Who may use the route. */
  readonly access: RouteAccess;

  /** How often a request may run. */
  readonly execution: RouteExecution;

  /** Time in milliseconds within which a request has its answer. */
  readonly budgetMs: number;
}
