/** Whether a route is open to everyone or requires an API key. */
export type RouteAccess = 'open' | 'keyed';

/** Whether a request of a route may be repeated safely or must run at most once. */
export type RouteExecution = 'idempotent' | 'atMostOnce';

/** Maps a path prefix to the service that handles its requests. */
export interface Route {
  /** The prefix of the request path; the longest matching prefix wins. */
  readonly pathPrefix: string;

  /** The service that handles the requests. */
  readonly serviceId: string;

  /** Whether requests need an API key. */
  readonly access: RouteAccess;

  /** Whether a request may run more than once. */
  readonly execution: RouteExecution;

  /** Maximum time in milliseconds from the arrival of a request to its response. */
  readonly budgetMs: number;
}
