import type * as http from 'node:http';

const ORIGIN = /^https?:\/\/[^/?#]*/i;

/** Gets the path and query of a request as the caller sent them; a target with scheme and host is cut to its path. */
export function getRequestTarget({url = '/'}: http.IncomingMessage): string {
  if (url.startsWith('/')) return url;
  const target = url.replace(ORIGIN, '');
  return target.startsWith('/') ? target : `/${target}`;
}
