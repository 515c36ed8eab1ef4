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

/** Speaks with the operators' listener of a daemon. */
export class OperatorClient {
  private readonly daemonAddress: string;
  private readonly token: string;
  private nextId = 1;

  /** @param daemonAddress The operators' listener, as host:port. */
  constructor(daemonAddress: string, token: string) {
    this.daemonAddress = daemonAddress;
    this.token = token;
  }

  /** Asks a daemon. @throws BramleyrunError that the daemon answered, or of kind platformUnavailable. */
  async askOrThrow<T>(request: operators.OperatorRequest): Promise<T> {
    const {kind, ...params} = request;
    const call = jsonRpc.createJSONRPCRequest(this.nextId++, kind, params);
    const response = await this.postOrThrow(call);
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
        errors.throwError('unauthenticated', 'the operator token is not known');
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
  return errors.getError(
    data?.kind ?? 'internal',
    error.message,
    data?.fieldPath ?? '',
  );
}
