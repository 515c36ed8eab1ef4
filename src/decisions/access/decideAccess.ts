import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';

/** The facts about a request that decide whether it may run. */
export interface AccessRequest {
  /** The path and query of the request. */
  readonly target: string;

  /** The SHA-256 digest of the API key that the request carries, in hexadecimal; empty without a key. */
  readonly keyDigestHex: string;

  /** Whether the request carries an idempotency key. */
  readonly hasIdempotencyKey: boolean;

  /** Monotonic time in milliseconds until which this process may rely on its copy of the configuration. */
  readonly freshUntilMs: number;
}

/** Whether a request may run, on which route and for which organisation. */
export type AccessDecision =
  | {
      readonly kind: 'open';
      readonly routeId: string;
      readonly route: configurations.Route;
    }
  | {
      readonly kind: 'keyed';
      readonly routeId: string;
      readonly route: configurations.Route;
      readonly organisationId: string;
      readonly organisation: configurations.Organisation;
    }
  | {
      readonly kind: 'refused';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** Looks up API keys by their digest. */
export interface KeyIndex {
  /** Gets the key with this SHA-256 digest in hexadecimal; undefined when there is none. */
  get(digestHex: string): configurations.Key | undefined;
}

/** Decides whether a request may run at the monotonic time `nowMs`. */
export function decideAccess(
  document: configurations.ConfigurationDocument,
  keys: KeyIndex,
  request: AccessRequest,
  nowMs: number,
): AccessDecision {
  const match = findRoute(document, getPath(request.target));
  if (match === undefined) return refuse('routeNotFound', 'no route matches');
  const {routeId, route} = match;
  if (route.execution === 'atMostOnce' && !request.hasIdempotencyKey)
    return refuse(
      'idempotencyKeyMissing',
      'the route needs an idempotency-key header',
    );
  switch (route.access) {
    case 'open':
      return {kind: 'open', routeId, route};
    case 'keyed':
      if (nowMs >= request.freshUntilMs)
        return refuse('notFresh', 'the configuration may be out of date here');
      return decideKey(document, keys, request.keyDigestHex, match);
  }
}

interface RouteMatch {
  readonly routeId: string;
  readonly route: configurations.Route;
}

function decideKey(
  document: configurations.ConfigurationDocument,
  keys: KeyIndex,
  keyDigestHex: string,
  match: RouteMatch,
): AccessDecision {
  if (keyDigestHex === '') return refuse('unauthenticated', 'no key was shown');
  const key = keys.get(keyDigestHex);
  if (key === undefined || key.status === 'withdrawn')
    return refuse('unauthenticated', 'the key is not granted');
  const organisation = document.organisations[key.organisationId];
  if (organisation === undefined)
    return refuse('forbidden', 'the organisation of the key is gone');
  return {
    kind: 'keyed',
    ...match,
    organisationId: key.organisationId,
    organisation,
  };
}

function findRoute(
  document: configurations.ConfigurationDocument,
  path: string,
): RouteMatch | undefined {
  let match: RouteMatch | undefined;
  for (const routeId in document.routes) {
    const route = document.routes[routeId];
    if (!isUnderPrefix(path, route.pathPrefix)) continue;
    if (match && match.route.pathPrefix.length >= route.pathPrefix.length)
      continue;
    match = {routeId, route};
  }
  return match;
}

function isUnderPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}

function getPath(target: string): string {
  const queryIndex = target.indexOf('?');
  return queryIndex < 0 ? target : target.slice(0, queryIndex);
}

function refuse(error: errors.ErrorKind, message: string): AccessDecision {
  return {kind: 'refused', error, message};
}
