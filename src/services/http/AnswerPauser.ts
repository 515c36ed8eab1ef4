import type * as net from 'node:net';
import type * as undici from 'undici';

/** The code that the client uses itself for connections that were closed by the other side. */
const RESET_CODE = 'UND_ERR_SOCKET';

/**
 * Pauses answers of one upstream while their callers are slow. The undici client fails an assertion when a connection
 * ends, or is reset, while an answer without a length is paused on it, and the failed assertion would end the process.
 * This class listens on the sockets before the client does: it resumes the answer when the connection ends, and turns a
 * reset into an error that the client does not take for the end of an answer.
 */
export class AnswerPauser {
  private readonly paused = new Set<undici.Dispatcher.DispatchController>();

  /** Gets a connector whose connections may carry answers that this class pauses. */
  getConnector(
    connect: undici.buildConnector.connector,
  ): undici.buildConnector.connector {
    return (options, callback) =>
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) this.monitorSocket(socket);
        callback(...result);
      });
  }

  /** Stops reading an answer. */
  pause(controller: undici.Dispatcher.DispatchController): void {
    this.paused.add(controller);
    controller.pause();
  }

  /** Goes on reading an answer, if it is paused. */
  resume(controller: undici.Dispatcher.DispatchController): void {
    if (this.paused.delete(controller)) controller.resume();
  }

  /** Leaves an answer that has ended as it is. */
  forget(controller: undici.Dispatcher.DispatchController): void {
    this.paused.delete(controller);
  }

  private monitorSocket(socket: net.Socket): void {
    // All answers are resumed, since a socket does not tell which one it carries; the others are paused again.
    socket.once('end', () => {
      for (const controller of [...this.paused]) this.resume(controller);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      // The client takes only this code for a possible end of an answer.
      if (error.code === 'ECONNRESET') error.code = RESET_CODE;
    });
  }
}
