import type * as net from 'node:net';
import * as undici from 'undici';

/** An answer may take this many times the size of its largest body, for its head and the framing of its chunks. */
const MAX_FRAMING_RATIO = 1.5;

/**
 * Gets a connector whose connections are destroyed when an answer takes too many bytes. The HTTP client bounds heads and
 * bodies, but reads chunk extensions without end.
 *
 * @param maxBodyBytes The size in bytes of the largest body that is accepted.
 */
export function limitAnswerBytes(
  connect: undici.buildConnector.connector,
  maxBodyBytes: number,
): undici.buildConnector.connector {
  return (options, callback) =>
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) monitorSocket(socket, maxBodyBytes);
      callback(...result);
    });
}

function monitorSocket(socket: net.Socket, maxBodyBytes: number): void {
  let writtenBytes = 0;
  let receivedBytes = 0;
  let answerStartBytes = 0;
  socket.on('readable', () => {
    // What is read after something was written belongs to the next answer.
    if (socket.bytesWritten !== writtenBytes) answerStartBytes = receivedBytes;
    writtenBytes = socket.bytesWritten;
    receivedBytes = socket.bytesRead;
    if (receivedBytes - answerStartBytes > maxBodyBytes * MAX_FRAMING_RATIO)
      socket.destroy(new Error('the answer has too many bytes'));
  });
}
