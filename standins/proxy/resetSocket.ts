import type * as net from 'node:net';

/**
 * Resets a connection, also when the socket has been ended but the end has not been sent yet.
 *
 * Until the end has been handed to the kernel, Node.js rejects a reset (EINVAL) and leaks a handle that keeps the
 * process alive and busy; so the reset waits for it.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded && !socket.writableFinished)
    socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
