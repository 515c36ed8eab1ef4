import type * as http from 'node:http';
import * as errors from '../../model/errors/index.js';
import * as answers from './writeAnswer.js';

const HTTP_INTERNAL_SERVER_ERROR = 500;

/**
 * Lets an asynchronous function answer requests as Node.js has read them. A framework would normalize their targets,
 * which are forwarded unchanged.
 *
 * @param handler Answers a request; where it fails, the answer is 500, or the connection is closed within an answer.
 * @param onFailure Called with each failure of `handler`.
 */
export function toRequestListener(
  handler: (
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) => Promise<void>,
  onFailure: (error: errors.BramleyrunError) => void,
): http.RequestListener {
  return (request, response) => {
    handler(request, response).catch((thrown: unknown) => {
      onFailure(errors.toError(thrown));
      if (response.headersSent) response.destroy();
      else answers.writeAnswer(response, HTTP_INTERNAL_SERVER_ERROR);
    });
  };
}
