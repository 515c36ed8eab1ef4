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
      const ofHost = byHost.get(route.host) ?? new Map();
      byHost.set(route.host, ofHost.set(route.pathPrefix, route));
    }
    this.byHost = byHost;
  }

  /** Gets the route of a host and a path that may be followed by a query, or nothing. */
  findTarget(host: string, target: string): entry.EntryRoute | undefined {
    const queryAt = target.indexOf('?');
    return this.find(host, queryAt < 0 ? target : target.slice(0, queryAt));
  }

  /** Gets the route of a host with the longest prefix that begins the path, or nothing. */
  find(host: string, path: string): entry.EntryRoute | undefined {
    const ofHost = this.byHost.get(host);
    if (ofHost === undefined) return undefined;
    // Every prefix ends with a slash, so only the cuts after slashes can match.
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = ofHost.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}
