import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';

const MAX_PORT = 65_535;

/** Parses an address of the form host:port. @throws BramleyrunError of kind `errorKind`. */
export function parseSocketAddress(
  text: string,
  fieldPath = '',
  errorKind: errors.ErrorKind = 'invalidSettings',
): entry.SocketAddress {
  const colonIndex = text.lastIndexOf(':');
  const host = text.slice(0, colonIndex);
  const port = Number(text.slice(colonIndex + 1));
  if (colonIndex < 1 || !Number.isInteger(port) || port < 0 || port > MAX_PORT)
    errors.throwError(
      errorKind,
      `${fieldPath || 'address'}: "${text}" is not host:port`,
      fieldPath,
    );
  return {host, port};
}

/** Formats an address as host:port. */
export function formatSocketAddress(address: entry.SocketAddress): string {
  return `${address.host}:${address.port}`;
}
