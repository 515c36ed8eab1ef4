import type * as entry from '../../model/entry/index.js';

/** Finds routes by host and longest path prefix. */
export class RouteIndex {
  private readonly byHost = new Map<
    string,
    ReadonlyMap<string, entry.EntryRoute>
  >();

  /** @param routes The routes of one version of the configuration. */
  constructor(routes: readonly entry.EntryRoute[]) {
    const byHost = new Map<string, Map<string, entry.EntryRoute>>();
    for (const route of routes) {
      const routesByPrefix = byHost.get(route.host) ?? new Map();
      byHost.set(route.host, routesByPrefix.set(route.pathPrefix, route));
    }
    this.byHost = byHost;
  }

  /** Finds the route of a host and a request target, a path with an optional query; `undefined` if none matches. */
  findByTarget(host: string, target: string): entry.EntryRoute | undefined {
    const queryIndex = target.indexOf('?');
    return this.findByPath(
      host,
      queryIndex < 0 ? target : target.slice(0, queryIndex),
    );
  }

  /** Finds the host's route with the longest prefix of the path; `undefined` if none matches. */
  findByPath(host: string, path: string): entry.EntryRoute | undefined {
    const routesByPrefix = this.byHost.get(host);
    if (routesByPrefix === undefined) return undefined;
    // Every route prefix ends with a slash, so only parts of the path that end with a slash can match.
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = routesByPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}
