import type * as http from 'node:http';
import * as errors from '../../model/errors/index.js';
import * as memories from './BodyMemory.js';
import * as sizes from './bodySizes.js';
import * as bodies from './readBody.js';

/** An answer to a JSON-RPC request: its response, or the HTTP status of the error due to which there is none. */
export type RpcAnswer =
  | {readonly kind: 'answered'; readonly response: unknown}
  | {readonly kind: 'failed'; readonly httpStatus: number};

/**
 * Reads the body of a JSON-RPC request and answers it.
 *
 * @param answer Returns the response to the request with the given body.
 */
export async function answerRpcRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  answer: (body: string) => Promise<unknown>,
): Promise<RpcAnswer> {
  try {
    const {bytes} = await bodies.readBody(request, response, {
      maxBytes: sizes.MAX_INTERNAL_BODY_BYTES,
      memory: new memories.BodyMemory('request'),
    });
    return {kind: 'answered', response: await answer(bytes.toString('utf8'))};
  } catch (thrown) {
    const {kind} = errors.toError(thrown);
    return {kind: 'failed', httpStatus: errors.ERROR_ANSWERS[kind].httpStatus};
  }
}
