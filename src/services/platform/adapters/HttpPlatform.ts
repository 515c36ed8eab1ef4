import * as undici from 'undici';
import * as zod from 'zod';
import * as codecs from '../../../codecs/index.js';
import type * as platform from '../../../model/platform/index.js';
import * as http from '../../http/index.js';
import type * as adapters from './PlatformAdapter.js';

/** Maximum time in milliseconds for connecting to the platform, and for its response. */
const ANSWER_TIMEOUT_MS = 2000;

const MAX_CONNECTIONS = 8;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** The result of an HTTP request to the platform. */
type HttpResult =
  | {
      readonly kind: 'answer';
      readonly httpStatus: number;
      readonly text: string;
    }
  /** The request certainly did not reach the platform. */
  | {readonly kind: 'notSent'}
  /** The request may have been processed, but no complete response was received. */
  | {readonly kind: 'noAnswer'};

/** Accesses the platform's table, object store and list of VMs over HTTP. */
export class HttpPlatform implements adapters.PlatformAdapter {
  private readonly pool: undici.Pool;

  /** @param url The origin of the platform's HTTP interface. */
  constructor(url: string) {
    this.pool = new undici.Pool(url, {
      connections: MAX_CONNECTIONS,
      maxResponseSize: http.MAX_INTERNAL_BODY_BYTES,
      connect: http.limitAnswerBytes(
        undici.buildConnector({timeout: ANSWER_TIMEOUT_MS}),
        http.MAX_INTERNAL_BODY_BYTES,
      ),
    });
  }

  /** Reads the current version of the requested rows. @throws BramleyrunError when the response is invalid. */
  async read(request: codecs.ReadRequest): Promise<platform.ReadResult> {
    const result = await this.sendRequest('POST', '/table/read', request);
    const rows = getValue(result, codecs.rowsSchema);
    return rows === undefined ? {kind: 'unavailable'} : {kind: 'rows', rows};
  }

  /**
   * Applies all writes of a transaction if all its checks hold, and none of them otherwise.
   * @throws BramleyrunError when the response is invalid.
   */
  async transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult> {
    const result = await this.sendRequest(
      'POST',
      '/table/transact',
      transaction,
    );
    const isRefused =
      result.kind === 'answer' && result.httpStatus === HTTP_UNAVAILABLE;
    if (result.kind === 'notSent' || isRefused) return {kind: 'unavailable'};
    return (
      getValue(result, codecs.transactionAnswerSchema) ?? {
        kind: 'outcomeUnknown',
      }
    );
  }

  /** Stores an object under a name. */
  async putObject(name: string, text: string): Promise<platform.PutResult> {
    const result = await this.sendRequest('PUT', getObjectPath(name), {text});
    const isStored = result.kind === 'answer' && result.httpStatus === HTTP_OK;
    return {kind: isStored ? 'stored' : 'unavailable'};
  }

  /** Gets an object by its name. @throws BramleyrunError when the response is invalid. */
  async getObject(name: string): Promise<platform.ObjectResult> {
    const result = await this.sendRequest('GET', getObjectPath(name));
    if (result.kind === 'answer' && result.httpStatus === HTTP_NOT_FOUND)
      return {kind: 'absent'};
    const object = getValue(result, zod.object({text: zod.string()}));
    return object === undefined
      ? {kind: 'unavailable'}
      : {kind: 'object', text: object.text};
  }

  /**
   * Gets the list of VMs, which may lag behind the actual state.
   * @throws BramleyrunError when the response is invalid.
   */
  async listVms(): Promise<platform.VmListResult> {
    const result = await this.sendRequest('GET', '/vms');
    const vms = getValue(result, codecs.listedVmsSchema);
    return vms === undefined ? {kind: 'unavailable'} : {kind: 'vms', vms};
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async sendRequest(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: object,
  ): Promise<HttpResult> {
    const timeout = new http.ReadTimeout(ANSWER_TIMEOUT_MS);
    try {
      const response = await this.pool.request({
        method,
        path,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
        signal: timeout.signal,
      });
      const text = await http.readAnswerText(
        response.body,
        http.MAX_INTERNAL_BODY_BYTES,
      );
      return {kind: 'answer', httpStatus: response.statusCode, text};
    } catch (thrown) {
      return {kind: http.isNotSent(thrown) ? 'notSent' : 'noAnswer'};
    } finally {
      timeout.cancel();
    }
  }
}

function getObjectPath(name: string): string {
  return `/objects/${encodeURIComponent(name)}`;
}

function getValue<T>(
  result: HttpResult,
  schema: zod.ZodType<T>,
): T | undefined {
  if (result.kind !== 'answer' || result.httpStatus !== HTTP_OK)
    return undefined;
  return codecs.parseJsonOrThrow(schema, result.text, 'invalidRow');
}
