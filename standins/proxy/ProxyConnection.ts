import type * as net from 'node:net';
import * as httpService from '../../src/services/http/index.js';
import type * as faults from './ProxyFault.js';
import * as streams from './ProxyStream.js';
import * as sockets from './resetSocket.js';

/** What a connection asks of the proxy that it runs through. */
export interface ProxyConnectionCallbacks {
  /** Gets the fault in force. */
  getFault(): faults.ProxyFault;
  onBytes(sizeBytes: number): void;
  /** Both sides have closed. */
  onClose(): void;
}

/** One connection through a proxy: the caller's side, the target's side and a stream in each direction. */
export class ProxyConnection {
  /** Address of the caller. */
  readonly sourceHost: string;
  private readonly caller: net.Socket;
  private readonly target: net.Socket;
  private readonly callbacks: ProxyConnectionCallbacks;

  /** Starts to pass bytes. */
  constructor(
    caller: net.Socket,
    target: net.Socket,
    callbacks: ProxyConnectionCallbacks,
  ) {
    this.sourceHost = caller.remoteAddress ?? '';
    this.caller = caller;
    this.target = target;
    this.callbacks = callbacks;
    this.join(caller, target, 'request');
    this.join(target, caller, 'answer');
  }

  /** Resets both sides. */
  reset(): void {
    sockets.resetSocket(this.caller);
    sockets.resetSocket(this.target);
  }

  private join(
    from: net.Socket,
    to: net.Socket,
    direction: streams.StreamDirection,
  ): void {
    const stream = new streams.ProxyStream(to, direction, {
      getFault: () => this.callbacks.getFault(),
      reset: () => this.reset(),
    });
    from.on('data', chunk => {
      this.callbacks.onBytes(chunk.length);
      stream.pass({kind: 'bytes', chunk});
    });
    from.on('end', () =>
      stream.pass(
        httpService.isReset(from)
          ? {kind: 'close', isReset: true}
          : {kind: 'end'},
      ),
    );
    // The error is passed on by the close that follows it.
    from.on('error', () => from.destroy());
    from.once('close', isBroken => {
      stream.pass({kind: 'close', isReset: isBroken});
      if (this.caller.closed && this.target.closed) this.callbacks.onClose();
    });
  }
}
