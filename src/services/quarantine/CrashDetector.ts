import * as net from 'node:net';
import * as codecs from '../../codecs/index.js';
import type * as entry from '../../model/entry/index.js';

/** How long an upstream may take to accept a connection before it counts as crashed. */
const ACCEPT_TIMEOUT_MS = 300;

/** How long an accepted connection must stay open: a proxy in front of a crashed upstream accepts it and closes it. */
const MIN_OPEN_MS = 40;

/** Tells a crashed upstream from a broken connection to a running one by whether it still holds new connections. */
export class CrashDetector {
  private readonly pending = new Map<string, Promise<boolean>>();

  /** Whether the upstream at an address holds no new connections. Simultaneous calls for one address share a check. */
  async hasCrashed(address: entry.SocketAddress): Promise<boolean> {
    const key = codecs.formatSocketAddress(address);
    const existing = this.pending.get(key);
    if (existing !== undefined) return await existing;
    const check = isListening(address).then(isAlive => !isAlive);
    this.pending.set(key, check);
    try {
      return await check;
    } finally {
      this.pending.delete(key);
    }
  }
}

function isListening({host, port}: entry.SocketAddress): Promise<boolean> {
  return new Promise(resolve => {
    const socket = net.connect({host, port, timeout: ACCEPT_TIMEOUT_MS});
    const settle = (isAlive: boolean) => {
      socket.destroy();
      resolve(isAlive);
    };
    socket.once('connect', () => {
      socket.setTimeout(0);
      setTimeout(() => settle(true), MIN_OPEN_MS);
    });
    socket.once('close', () => settle(false));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });
}
