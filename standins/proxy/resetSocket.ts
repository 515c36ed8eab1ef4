import type * as net from 'node:net';

/**
 * Resets a connection, also while its own end is on the way.
 *
 * Node.js refuses a reset until the end has been handed to the kernel (EINVAL), and leaves a
 * handle behind that keeps the process alive and busy.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded && !socket.writableFinished)
    socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
