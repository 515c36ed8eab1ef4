import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as memories from './AnswerMemory.js';
import type * as responses from './CountedResponse.js';
import * as inputs from './RequestInput.js';
import * as timers from './ReadTimer.js';

/**
 * How long a connection is still read from after the system has taken everything that was written to it. Closing it while
 * bytes of the caller are unread would reset it, and a reset discards what has not reached the caller yet.
 */
const LINGER_MS = 3000;

/** What is discarded of a closing connection at most: a caller that sends more than this does not read its answer. */
const MAX_LINGER_BYTES = 4 * 1_048_576;

/** How long nothing may have arrived on a connection that counts as idle: a request may have been read in part. */
const QUIET_MS = 200;

/**
 * The number of requests from which no more of a connection are parsed until the system has accepted an answer. Callers
 * may pipeline more; those wait unparsed.
 */
const MAX_PENDING_REQUESTS = 16;

/**
 * The number of requests that a connection has parsed in one turn of the event loop at most. Answers that are ready at
 * once would otherwise have all the input parsed before another connection is read.
 */
const MAX_REQUESTS_PER_TURN = 16;

/** The memory in bytes that an answer takes beside what was written to it, with its request. */
const ANSWER_OVERHEAD_BYTES = 4096;

/** The size in bytes of unparsed input from which a connection is not read: one read of Node.js. */
const MAX_INPUT_BYTES = 65_536;

/** What the system may have read of a connection in addition, until its reading stops. */
const READ_BUFFER_BYTES = 65_536;

/**
 * A connection of a server, which is closed without losing an answer. Requests are parsed while few answers of the
 * connection are pending, which the system has not accepted yet: Node.js alone parses all that it reads at a time, which
 * may be a thousand requests, and a caller that does not read its answers would have them all kept.
 */
export class ServerConnection
  implements memories.HoldingConnection, responses.AnswerCounter
{
  private readonly socket: net.Socket;
  private readonly memory: memories.AnswerMemory;
  private readonly input = new inputs.RequestInput();
  private readonly parse: (bytes: Buffer) => void;

  /** The number of requests whose answers the system has not accepted. */
  private pendingCount = 0;

  /** The bytes of each answer of which the system has not taken all that was written. */
  private readonly unsent = new Map<responses.CountedResponse, number>();
  private unsentAnswerBytes = 0;
  private isParsing = false;
  private isHolding = false;
  private turnRequestCount = 0;
  private isContinuing = false;
  private isInHead = false;
  private isLastRequestParsed = false;
  private isClosing = false;
  private isLingering = false;

  /**
   * @param socket The socket of the connection, which the HTTP server has begun to read.
   * @param memory Bounds what is held for all connections.
   */
  constructor(socket: net.Socket, memory: memories.AnswerMemory) {
    this.socket = socket;
    this.memory = memory;
    const [parse] = socket.listeners('data');
    this.parse = parse as (bytes: Buffer) => void;
    // From here on, the HTTP server parses what this class passes on; without that it would read the socket natively.
    socket.removeListener('data', this.parse);
    socket.on('data', (bytes: Buffer) => this.receive(bytes));
    socket.on('resume', () => this.handleResume());
    // The HTTP server calls this method to close a connection after the answer that announces it.
    socket.destroySoon = () => this.linger();
  }

  /** The number of bytes that were written to the connection and that the system has not taken yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Adds a request; the connection is not idle until all of the answer has been sent. */
  addRequest(
    request: http.IncomingMessage,
    response: responses.CountedResponse,
  ): void {
    this.turnRequestCount += 1;
    this.input.setRequest(request);
    this.isInHead = false;
    if (!response.shouldKeepAlive) this.isLastRequestParsed = true;
    this.pendingCount += 1;
    response.counter = this;
  }

  /** Removes a request whose answer the system has accepted, and parses the next ones. */
  removeRequest(response: responses.CountedResponse): void {
    this.pendingCount -= 1;
    const bytes = this.unsent.get(response);
    if (bytes !== undefined) {
      this.unsentAnswerBytes -= bytes;
      this.unsent.delete(response);
      this.memory.remove(response);
    }
    if (this.input.isEmpty) this.input.releaseCompleteRequest();
    else this.parseInput();
  }

  countAnswer(response: responses.CountedResponse): void {
    if (this.socket.destroyed) return;
    const bytes = response.writableLength;
    this.unsentAnswerBytes += bytes - (this.unsent.get(response) ?? 0);
    this.unsent.set(response, bytes);
    this.memory.set(response, this, bytes + ANSWER_OVERHEAD_BYTES);
  }

  /** Parses no requests behind those that have been parsed: an answer to them closes the connection. */
  setLastRequestParsed(): void {
    this.isLastRequestParsed = true;
  }

  /** Frees what is held for a connection that has closed. */
  release(): void {
    if (this.input.isEmpty && this.unsent.size === 0) return;
    this.input.clear();
    this.memory.remove(this);
    for (const response of this.unsent.keys()) this.memory.remove(response);
  }

  closeUnread(): void {
    this.socket.destroy();
    this.release();
  }

  /** Closes the connection once no request is arriving and the answers to all that have arrived are sent. */
  closeWhenIdle(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.lingerWhenIdle();
  }

  private lingerWhenIdle(): void {
    const {socket} = this;
    const {bytesRead} = socket;
    new timers.ReadTimer(QUIET_MS, () => {
      if (socket.destroyed) return;
      const isQuiet = socket.bytesRead === bytesRead;
      if (isQuiet && this.isIdle) this.linger();
      else this.lingerWhenIdle();
    });
  }

  private get isIdle(): boolean {
    return this.pendingCount === 0 && this.input.isEmpty;
  }

  private receive(bytes: Buffer): void {
    this.turnRequestCount = 0;
    if (this.isSoleSlice(bytes)) {
      this.isInHead = true;
      this.parse(bytes);
      return;
    }
    this.input.add(bytes);
    this.parseInput();
  }

  /**
   * Whether bytes that were read may be parsed at once, as the only slice: usually a request without a body on an idle
   * connection. Most callers send nothing else, and each step saved for it is much of the processor time of a request.
   */
  private isSoleSlice(bytes: Buffer): boolean {
    return (
      this.pendingCount === 0 &&
      this.input.isEmpty &&
      !this.input.isInBody &&
      !this.isLastRequestParsed &&
      !this.isLingering &&
      inputs.isSlice(bytes)
    );
  }

  /** Parses what is held as soon as somebody else makes the socket flow again, for example to read a body. */
  private handleResume(): void {
    if (this.socket.isPaused()) return;
    this.isHolding = false;
    if (!this.input.isEmpty) this.parseInput();
  }

  /** Whether the next bytes are parsed: always within a request, and before the next one while few are pending. */
  private get mayParse(): boolean {
    const {socket, input} = this;
    if (input.isEmpty || this.isLingering || socket.destroyed) return false;
    // The HTTP server pauses the socket together with its parser, and while a body is not read.
    if (socket.isPaused() && !this.isHolding) return false;
    if (input.isInBody || this.isInHead) return true;
    return (
      this.pendingCount < MAX_PENDING_REQUESTS &&
      this.turnRequestCount < MAX_REQUESTS_PER_TURN &&
      !socket.writableNeedDrain &&
      // Above its high-water mark the HTTP server would pause its parser within a slice.
      this.unsentAnswerBytes < socket.writableHighWaterMark / 2
    );
  }

  private parseInput(): void {
    if (this.isParsing) return;
    this.isParsing = true;
    const {input} = this;
    while (this.mayParse) {
      if (this.isLastRequestParsed && !input.isInBody) {
        input.clear();
        break;
      }
      const wasInBody = input.isInBody;
      this.isInHead = !wasInBody;
      this.parse(input.takeSlice());
    }
    this.isParsing = false;
    input.releaseCompleteRequest();
    if (!input.isEmpty && this.turnRequestCount >= MAX_REQUESTS_PER_TURN)
      this.continueInNextTurn();
    this.holdInput();
  }

  private continueInNextTurn(): void {
    if (this.isContinuing) return;
    this.isContinuing = true;
    setImmediate(() => {
      this.isContinuing = false;
      this.turnRequestCount = 0;
      this.parseInput();
    });
  }

  /** Stops reading while much input is held, and counts it. */
  private holdInput(): void {
    const {socket, input} = this;
    if (socket.destroyed || this.isLingering) return;
    if (input.isEmpty) this.memory.remove(this);
    else this.memory.set(this, this, input.heldBytes + READ_BUFFER_BYTES);
    if (input.heldBytes >= MAX_INPUT_BYTES) {
      if (socket.isPaused()) return;
      this.isHolding = true;
      socket.pause();
    } else if (this.isHolding) {
      this.isHolding = false;
      socket.resume();
    }
  }

  /** Sends what was written and the end of the stream, then discards what arrives until the caller closes as well. */
  private linger(): void {
    const {socket} = this;
    if (this.isLingering || socket.destroyed) return;
    this.isLingering = true;
    this.input.clear();
    this.memory.remove(this);
    // Takes the connection's bytes away from the HTTP parser.
    socket.removeAllListeners('data');
    const maxBytesRead = socket.bytesRead + MAX_LINGER_BYTES;
    socket.on('data', () => {
      if (socket.bytesRead > maxBytesRead) socket.destroy();
    });
    socket.resume();
    socket.setTimeout(0);
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once('close', () => clearTimeout(timer));
    });
  }
}
