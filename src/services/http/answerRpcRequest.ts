import type * as http from 'node:http';
import type * as h3 from 'h3';
import * as errors from '../../model/errors/index.js';
import * as memories from './BodyMemory.js';
import * as sizes from './bodySizes.js';
import * as bodies from './readBody.js';

/**
 * Reads the body of a JSON-RPC request and answers it. A body that cannot be read is answered with the HTTP status of
 * its error.
 *
 * @param answer Returns the response to the request with the given body.
 */
export async function answerRpcRequest(
  event: h3.H3Event,
  answer: (body: string) => Promise<unknown>,
): Promise<unknown> {
  const node = event.runtime?.node;
  if (node?.res === undefined) throw new Error('not a request of node:http');
  const request = node.req as http.IncomingMessage;
  const response = node.res as http.ServerResponse;
  try {
    const {bytes} = await bodies.readBody(request, response, {
      maxBytes: sizes.MAX_INTERNAL_BODY_BYTES,
      memory: new memories.BodyMemory('request'),
    });
    return await answer(bytes.toString('utf8'));
  } catch (thrown) {
    const {kind} = errors.toError(thrown);
    event.res.status = errors.ERROR_ANSWERS[kind].httpStatus;
    return '';
  }
}
