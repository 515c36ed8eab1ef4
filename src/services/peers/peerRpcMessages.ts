import * as jsonRpc from 'json-rpc-2.0';
import * as codecs from '../../codecs/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as messages from './PeersMessage.js';

/** Encodes a request to another daemon. */
export function encodePeerRequest(
  request: peers.PeerRequest,
  id: number,
): string {
  const params = codecs.encodePeerRequestParams(request);
  return JSON.stringify(jsonRpc.createJSONRPCRequest(id, request.kind, params));
}

/** Decodes the response to the request `id`. @throws BramleyrunError of kind invalidPeerMessage. */
export function decodePeerResponse(
  text: string,
  id: number,
): messages.CallResult {
  const response: unknown = JSON.parse(text);
  if (!jsonRpc.isJSONRPCResponse(response) || response.id !== id)
    return {kind: 'failed'};
  if (response.error !== undefined) return {kind: 'failed'};
  const answer = codecs.parseOrThrow(
    codecs.peerAnswerSchema,
    response.result,
    'invalidPeerMessage',
  );
  return {kind: 'answered', answer};
}
