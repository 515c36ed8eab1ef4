import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';

const MAX_PORT = 65_535;

/** Gets an address from host:port. @throws BramleyrunError of kind invalidSettings. */
export function parseSocketAddress(
  text: string,
  fieldPath = '',
): entry.SocketAddress {
  const colonAt = text.lastIndexOf(':');
  const host = text.slice(0, colonAt);
  const port = Number(text.slice(colonAt + 1));
  if (colonAt < 1 || !Number.isInteger(port) || port < 0 || port > MAX_PORT)
    errors.throwError(
      'invalidSettings',
      `${fieldPath || 'address'}: "${text}" is not host:port`,
      fieldPath,
    );
  return {host, port};
}

/** Gets an address as host:port. */
export function formatSocketAddress(address: entry.SocketAddress): string {
  return `${address.host}:${address.port}`;
}
