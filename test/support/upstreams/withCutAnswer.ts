import * as net from 'node:net';
import * as sockets from '../../../standins/proxy/resetSocket.js';

/** How an upstream closes a connection. */
export type CutKind = 'end' | 'reset';

/** Runs with an upstream that answers each request with the first bytes of an answer and closes the connection. */
export async function withCutAnswer(
  answer: string,
  kind: CutKind,
  run: (address: string) => Promise<void>,
): Promise<void> {
  const server = net.createServer(socket => {
    socket.on('error', () => socket.destroy());
    socket.once('data', () => {
      // Waits until the bytes have gone out: a reset drops what is still in the buffer.
      socket.write(answer, () => {
        switch (kind) {
          case 'end':
            socket.end();
            return;
          case 'reset':
            sockets.resetSocket(socket);
        }
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

/** Whole answers with a length, in chunks, and with a close announced; `IDENTIFIER` is the header's name. */
export function getFramedAnswers(identifier: string): readonly string[] {
  const head = `HTTP/1.1 200 OK\r\n${identifier}: q\r\nx-response-seal: s\r\n`;
  const framings = [
    'content-length: 6\r\n\r\nanswer',
    'connection: close\r\ncontent-length: 6\r\n\r\nanswer',
    'connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n',
  ];
  return framings.map(framing => head + framing);
}
