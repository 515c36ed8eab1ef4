import * as net from 'node:net';
import * as sockets from '../../../standins/proxy/resetSocket.js';

/** How an upstream closes a connection. */
export type CloseKind = 'end' | 'reset';

/**
 * Starts an upstream that writes `answer`, complete or cut short, to each connection that sends a request and then
 * closes the connection. Calls `run` with its address and stops it afterwards.
 *
 * @param delayMs How long the connection stays open behind the answer, in milliseconds.
 */
export async function withClosingUpstream(
  answer: string,
  kind: CloseKind,
  run: (address: string) => Promise<void>,
  delayMs = 0,
): Promise<void> {
  const close = (socket: net.Socket) => {
    switch (kind) {
      case 'end':
        socket.end();
        return;
      case 'reset':
        sockets.resetSocket(socket);
    }
  };
  const server = net.createServer(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      // Waits until the bytes are sent, because a reset discards those that are still in the buffer.
      socket.write(answer, () => {
        if (delayMs === 0) close(socket);
        else setTimeout(close, delayMs, socket);
      });
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  try {
    await run(`127.0.0.1:${port}`);
  } finally {
    server.close();
  }
}

/**
 * Returns complete answers to the request `q`: with a content length, with a content length and `connection: close`,
 * and chunked with `connection: close`. `requestIdHeader` names the header that carries the request's ID.
 */
export function getFramedAnswers(requestIdHeader: string): readonly string[] {
  const head = `HTTP/1.1 200 OK\r\n${requestIdHeader}: q\r\nx-response-seal: s\r\n`;
  const framings = [
    'content-length: 6\r\n\r\nanswer',
    'connection: close\r\ncontent-length: 6\r\n\r\nanswer',
    'connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n',
  ];
  return framings.map(framing => head + framing);
}
