import type * as net from 'node:net';
import * as httpService from '../../src/services/http/index.js';
import type * as faults from './ProxyFault.js';
import * as streams from './ProxyStream.js';
import * as sockets from './resetSocket.js';

/** The functions of the proxy that its connections call. */
export interface ProxyConnectionCallbacks {
  /** Gets the current fault for the source address of the connection. */
  getFault(): faults.ProxyFault;
  /** Called with the number of bytes received from either side. */
  onBytes(sizeBytes: number): void;
  /** Called when both sides have closed. */
  onClose(): void;
}

/** A proxied connection: the socket to the caller, the socket to the target and a stream in each direction. */
export class ProxyConnection {
  /** The caller's IP address. */
  readonly sourceHost: string;
  private readonly caller: net.Socket;
  private readonly target: net.Socket;
  private readonly callbacks: ProxyConnectionCallbacks;

  /** Starts forwarding between the two sockets. */
  constructor(
    caller: net.Socket,
    target: net.Socket,
    callbacks: ProxyConnectionCallbacks,
  ) {
    this.sourceHost = caller.remoteAddress ?? '';
    this.caller = caller;
    this.target = target;
    this.callbacks = callbacks;
    this.forwardEvents(caller, target, 'request');
    this.forwardEvents(target, caller, 'answer');
  }

  /** Resets both sockets. */
  reset(): void {
    sockets.resetSocket(this.caller);
    sockets.resetSocket(this.target);
  }

  private forwardEvents(
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
      stream.forward({kind: 'bytes', chunk});
    });
    from.on('end', () =>
      stream.forward(
        httpService.isReset(from)
          ? {kind: 'close', isReset: true}
          : {kind: 'end'},
      ),
    );
    // The 'close' event that follows forwards the error as a reset.
    from.on('error', () => from.destroy());
    from.once('close', hadError => {
      stream.forward({kind: 'close', isReset: hadError});
      if (this.caller.closed && this.target.closed) this.callbacks.onClose();
    });
  }
}
