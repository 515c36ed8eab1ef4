import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';

/** What decides whether a request may run. */
export interface AccessQuestion {
  /** The path and query that were asked for. */
  readonly target: string;

  /** The SHA-256 digest of the key that was shown, in hexadecimal, or an empty string. */
  readonly keyDigestHex: string;

  /** Whether an idempotency key came with the request. */
  readonly hasIdempotencyKey: boolean;

  /** Monotonic time in milliseconds until which the configuration may be used. */
  readonly freshUntilMs: number;
}

/** Whether a request may run, and for whom. */
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

/** Finds the key that has a digest. */
export interface KeyIndex {
  /** Gets the key with this SHA-256 digest in hexadecimal, or nothing. */
  get(digestHex: string): configurations.Key | undefined;
}

/** Decides whether a request may run at the monotonic time `nowMs`. */
export function decideAccess(
  document: configurations.ConfigurationDocument,
  keys: KeyIndex,
  question: AccessQuestion,
  nowMs: number,
): AccessDecision {
  const found = findRoute(document, getPath(question.target));
  if (found === undefined) return refuse('routeNotFound', 'no route matches');
  const {routeId, route} = found;
  if (route.execution === 'atMostOnce' && !question.hasIdempotencyKey)
    return refuse(
      'idempotencyKeyMissing',
      'the route needs an idempotency-key header',
    );
  switch (route.access) {
    case 'open':
      return {kind: 'open', routeId, route};
    case 'keyed':
      if (nowMs >= question.freshUntilMs)
        return refuse('notFresh', 'the configuration may be out of date here');
      return decideKey(document, keys, question.keyDigestHex, found);
  }
}

interface FoundRoute {
  readonly routeId: string;
  readonly route: configurations.Route;
}

function decideKey(
  document: configurations.ConfigurationDocument,
  keys: KeyIndex,
  keyDigestHex: string,
  found: FoundRoute,
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
    ...found,
    organisationId: key.organisationId,
    organisation,
  };
}

function findRoute(
  document: configurations.ConfigurationDocument,
  path: string,
): FoundRoute | undefined {
  let found: FoundRoute | undefined;
  for (const routeId in document.routes) {
    const route = document.routes[routeId];
    if (!isUnderPrefix(path, route.pathPrefix)) continue;
    if (found && found.route.pathPrefix.length >= route.pathPrefix.length)
      continue;
    found = {routeId, route};
  }
  return found;
}

function isUnderPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  if (prefix.endsWith('/') || path.length === prefix.length) return true;
  return path[prefix.length] === '/';
}

function getPath(target: string): string {
  const queryAt = target.indexOf('?');
  return queryAt < 0 ? target : target.slice(0, queryAt);
}

function refuse(error: errors.ErrorKind, message: string): AccessDecision {
  return {kind: 'refused', error, message};
}
