import * as jsonRpc from 'json-rpc-2.0';
import * as undici from 'undici';
import * as errors from '../../model/errors/index.js';
import type * as operators from '../../model/operators/index.js';

const ANSWER_TIMEOUT_MS = 15_000;
const HTTP_UNAUTHORIZED = 401;

interface ErrorData {
  readonly kind: errors.ErrorKind;
  readonly fieldPath: string;
}

/** JSON-RPC client of a daemon's operators' listener. */
export class OperatorClient {
  private readonly daemonAddress: string;
  private readonly token: string;
  private nextId = 1;

  /**
   * @param daemonAddress The address of the operators' listener, as host:port.
   * @param token The operator's token.
   */
  constructor(daemonAddress: string, token: string) {
    this.daemonAddress = daemonAddress;
    this.token = token;
  }

  /**
   * Sends a request to the daemon and returns the result.
   * @throws BramleyrunError The error in the daemon's answer; of kind unauthenticated for an unknown token, of kind
   *     platformUnavailable when the daemon sends no readable answer in time, and of kind internal when the answer is
   *     not JSON-RPC.
   */
  async callOrThrow<T>(request: operators.OperatorRequest): Promise<T> {
    const {kind, ...params} = request;
    const rpcRequest = jsonRpc.createJSONRPCRequest(
      this.nextId++,
      kind,
      params,
    );
    const response = await this.postOrThrow(rpcRequest);
    if (!jsonRpc.isJSONRPCResponse(response))
      return errors.throwError(
        'internal',
        'the daemon sent no JSON-RPC answer',
      );
    if (response.error !== undefined) throw toOperatorError(response.error);
    return response.result as T;
  }

  private async postOrThrow(payload: object): Promise<unknown> {
    try {
      const response = await undici.request(
        `http://${this.daemonAddress}/rpc`,
        {
          method: 'POST',
          headers: {
            authorization: `Bearer ${this.token}`,
            'content-type': 'application/json',
          },
          body: JSON.stringify(payload),
          signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
        },
      );
      if (response.statusCode === HTTP_UNAUTHORIZED)
        errors.throwError(
          'unauthenticated',
          'the daemon does not know the operator token',
        );
      return await response.body.json();
    } catch (thrown) {
      if (thrown instanceof errors.BramleyrunError) throw thrown;
      const {message} = errors.toError(thrown);
      return errors.throwError(
        'platformUnavailable',
        `the daemon did not answer: ${message}`,
      );
    }
  }
}

function toOperatorError(error: jsonRpc.JSONRPCError): errors.BramleyrunError {
  const data = error.data as ErrorData | undefined;
  return errors.createError(
    data?.kind ?? 'internal',
    error.message,
    data?.fieldPath ?? '',
  );
}
