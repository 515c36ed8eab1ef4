import * as net from 'node:net';

/**
 * Starts an upstream that refuses every request. All requests on a connection get the refusal that `getRefusal`
 * returned for the first one. Calls `run` with the upstream's address and stops the upstream afterwards.
 */
export async function withRefusingUpstream(
  getRefusal: (requestId: string) => string,
  run: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer(socket => {
    let refusal: string | undefined;
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      const head = bytes.toString('latin1');
      const [, requestId = ''] = /request-id: (\S+)/i.exec(head) ?? [];
      refusal ??= getRefusal(requestId);
      socket.write(refusal);
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  try {
    await run(`127.0.0.1:${port}`);
  } finally {
    server.close();
    for (const socket of sockets) socket.destroy();
  }
}

/** Returns the text of a refusal without a body; it carries a request ID only if one is among `headers`. */
export function getRefusalText(
  status: string,
  ...headers: readonly string[]
): string {
  return [`HTTP/1.1 ${status}`, ...headers, 'content-length: 0', '\r\n'].join(
    '\r\n',
  );
}
