import type * as nodeHttp from 'node:http';
import * as undici from 'undici';
import * as codecs from '../../codecs/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as http from '../http/index.js';
import * as metrics from '../metrics/index.js';
import * as rpc from './peerRpcMessages.js';
import * as servers from './PeerRpcServer.js';
import type * as messages from './PeersMessage.js';

const MAX_CONNECTIONS = 8;
const CONNECT_TIMEOUT_MS = 1000;

/** How long a stop waits for peers' requests in progress; it is part of what the callers' listener leaves of a stop. */
const CLOSE_TIMEOUT_MS = 50;

const RPC_PATH = '/rpc';

const HTTP_OK = 200;
const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;

/** Owns the peers' listener, which serves the requests of other daemons, and the connections to other daemons. */
export class PeersTask extends base.ServiceTask<messages.PeersMessage> {
  private readonly secret: string;
  private readonly localAddress: string;
  private readonly listener: http.HttpListener;
  private rpcServer: servers.PeerRpcServer | undefined;
  private readonly pools = new Map<string, undici.Pool>();
  private nextCallId = 1;

  /**
   * @param address The address of the peers' listener; connections to other daemons use its host as local address.
   * @param secret The shared secret that daemons authenticate each other with.
   * @param memory Bounds what the listeners of the process hold.
   */
  constructor(
    address: codecs.ListenAddress,
    secret: string,
    memory?: http.AnswerMemory,
  ) {
    super();
    this.secret = secret;
    this.localAddress = address.host;
    // Peers send far more requests than any other caller of a small VM; a web framework would double their cost.
    this.listener = new http.HttpListener(
      address,
      http.toRequestListener(
        (request, response) => this.handleHttpRequest(request, response),
        error => this.log('error', 'handlerFailed', {message: error.message}),
      ),
      memory,
    );
  }

  protected override async onStart(): Promise<void> {
    this.rpcServer = new servers.PeerRpcServer(this.getContext().services);
    await this.listener.open();
  }

  protected override async onStop(): Promise<void> {
    await Promise.all([...this.pools.values()].map(pool => pool.destroy()));
    await this.listener.closeWithin(CLOSE_TIMEOUT_MS);
  }

  protected override receive(message: messages.PeersMessage): void {
    switch (message.kind) {
      case 'call':
        void this.call(message).then(message.reply);
        return;
      case 'getAddress':
        message.reply(this.listener.getAddress());
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private async handleHttpRequest(
    request: nodeHttp.IncomingMessage,
    response: nodeHttp.ServerResponse,
  ): Promise<void> {
    if (request.method !== 'POST' || request.url !== RPC_PATH) {
      http.writeAnswer(response, HTTP_NOT_FOUND);
      return;
    }
    const {authorization = ''} = request.headers;
    if (!codecs.equalsSecret(authorization, `Bearer ${this.secret}`)) {
      http.writeAnswer(response, HTTP_UNAUTHORIZED);
      return;
    }
    const answer = await http.answerRpcRequest(
      request,
      response,
      async body => await this.rpcServer?.receive(body),
    );
    switch (answer.kind) {
      case 'answered':
        http.writeAnswer(response, HTTP_OK, JSON.stringify(answer.response));
        return;
      case 'failed':
        http.writeAnswer(response, answer.httpStatus);
        return;
      default:
        errors.throwUnreachable(answer);
    }
  }

  private async call(
    message: Extract<messages.PeersMessage, {kind: 'call'}>,
  ): Promise<messages.CallResult> {
    const {services, clock} = this.getContext();
    const remainingMs = message.deadlineMs - clock.monotonicMs();
    if (remainingMs <= 0) return {kind: 'failed'};
    const metricsService = services.getOrThrow(metrics.METRICS);
    metricsService.post({kind: 'count', name: 'peer_calls'});
    const result = await this.sendRequest(message, remainingMs);
    if (result.kind !== 'answered')
      metricsService.post({kind: 'count', name: 'peer_calls_failed'});
    return result;
  }

  private async sendRequest(
    message: Extract<messages.PeersMessage, {kind: 'call'}>,
    remainingMs: number,
  ): Promise<messages.CallResult> {
    const id = this.nextCallId++;
    const {deadlineMs, lastDeadlineMs = deadlineMs} = message;
    const timeout = new http.ReadTimeout(
      remainingMs,
      remainingMs + lastDeadlineMs - deadlineMs,
    );
    try {
      const response = await this.getPool(message.peersAddress).request({
        method: 'POST',
        path: RPC_PATH,
        headers: {
          authorization: `Bearer ${this.secret}`,
          'content-type': 'application/json',
        },
        body: rpc.encodePeerRequest(message.request, id),
        signal: timeout.signal,
      });
      const text = await http.readAnswerText(
        response.body,
        http.MAX_INTERNAL_BODY_BYTES,
        () => timeout.extend(),
      );
      if (response.statusCode !== HTTP_OK) return {kind: 'failed'};
      return rpc.decodePeerResponse(text, id);
    } catch (thrown) {
      const code = (thrown as {readonly code?: string}).code;
      return {kind: code === 'ECONNREFUSED' ? 'connectionRefused' : 'failed'};
    } finally {
      timeout.cancel();
    }
  }

  private getPool(peersAddress: string): undici.Pool {
    const existing = this.pools.get(peersAddress);
    if (existing !== undefined) return existing;
    const pool = new undici.Pool(`http://${peersAddress}`, {
      connections: MAX_CONNECTIONS,
      maxResponseSize: http.MAX_INTERNAL_BODY_BYTES,
      connect: http.limitAnswerBytes(
        undici.buildConnector({timeout: CONNECT_TIMEOUT_MS}),
        http.MAX_INTERNAL_BODY_BYTES,
      ),
      localAddress: this.localAddress,
    });
    this.pools.set(peersAddress, pool);
    return pool;
  }
}
