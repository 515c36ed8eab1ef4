import * as jsonRpc from 'json-rpc-2.0';
import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as peers from '../../model/peers/index.js';
import * as answering from './answerPeerRequest.js';

/** The methods that a daemon serves; the type requires one for each kind of request. */
const METHODS: Readonly<Record<peers.PeerRequest['kind'], true>> = {
  heartbeat: true,
  borrowShares: true,
  returnShares: true,
  takeTokens: true,
  previewTokens: true,
  settleTokens: true,
  askClaim: true,
  exchangeSuspects: true,
  getSharedState: true,
  getKnowledge: true,
  announceRows: true,
  borrowRequests: true,
};

/** Serves the JSON-RPC requests of other daemons, whatever carries them. */
export class PeerRpcServer {
  private readonly rpcServer = new jsonRpc.JSONRPCServer({
    errorListener: () => {},
  });
  private readonly services: kernel.ServiceDirectory;

  /** @param services The services that handle the requests. */
  constructor(services: kernel.ServiceDirectory) {
    this.services = services;
    for (const method of Object.keys(METHODS))
      this.rpcServer.addMethod(method, params => this.answer(method, params));
    this.rpcServer.mapErrorToJSONRPCErrorResponse = (id, thrown) => {
      const error = errors.toError(thrown);
      const {rpcCode} = errors.ERROR_ANSWERS[error.kind];
      return jsonRpc.createJSONRPCErrorResponse(id, rpcCode, error.message);
    };
  }

  /** Handles a request; returns the response, or null when the request wants none. */
  async receive(text: string): Promise<jsonRpc.JSONRPCResponse | null> {
    return (await this.rpcServer.receiveJSON(
      text,
    )) as jsonRpc.JSONRPCResponse | null;
  }

  private async answer(method: string, params: object): Promise<object> {
    const request = codecs.parseOrThrow(
      codecs.peerRequestSchema,
      {...params, kind: method},
      'invalidPeerMessage',
    );
    const answer = await answering.answerPeerRequest(this.services, request);
    return codecs.encodePeerAnswer(answer);
  }
}
