import * as undici from 'undici';
import * as zod from 'zod';
import * as codecs from '../../../codecs/index.js';
import type * as platform from '../../../model/platform/index.js';
import * as http from '../../http/index.js';
import type * as adapters from './PlatformAdapter.js';

/** How long in milliseconds an answer of the platform is waited for. */
const ANSWER_TIMEOUT_MS = 2000;

const MAX_CONNECTIONS = 8;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

type Exchange =
  | {
      readonly kind: 'answer';
      readonly httpStatus: number;
      readonly text: string;
    }
  | {readonly kind: 'notSent'}
  | {readonly kind: 'noAnswer'};

/** The platform's table, object store and list of VMs over HTTP. */
export class HttpPlatform implements adapters.PlatformAdapter {
  private readonly pool: undici.Pool;

  /** @param url The origin of the platform's interface. */
  constructor(url: string) {
    this.pool = new undici.Pool(url, {
      connections: MAX_CONNECTIONS,
      maxResponseSize: http.MAX_INTERNAL_ANSWER_BYTES,
      connect: {timeout: ANSWER_TIMEOUT_MS},
    });
  }

  /** Reads the current rows. */
  async read(request: codecs.ReadRequest): Promise<platform.ReadResult> {
    const exchange = await this.exchange('POST', '/table/read', request);
    const rows = getValue(exchange, codecs.rowsSchema);
    return rows === undefined ? {kind: 'unavailable'} : {kind: 'rows', rows};
  }

  /** Changes rows all together, or not at all. */
  async transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult> {
    const exchange = await this.exchange(
      'POST',
      '/table/transact',
      transaction,
    );
    const isRefused =
      exchange.kind === 'answer' && exchange.httpStatus === HTTP_UNAVAILABLE;
    if (exchange.kind === 'notSent' || isRefused) return {kind: 'unavailable'};
    return (
      getValue(exchange, codecs.transactionAnswerSchema) ?? {
        kind: 'outcomeUnknown',
      }
    );
  }

  /** Stores an object under a name. */
  async putObject(name: string, text: string): Promise<platform.PutResult> {
    const exchange = await this.exchange('PUT', getObjectPath(name), {text});
    const isStored =
      exchange.kind === 'answer' && exchange.httpStatus === HTTP_OK;
    return {kind: isStored ? 'stored' : 'unavailable'};
  }

  /** Gets an object by its name. */
  async getObject(name: string): Promise<platform.ObjectResult> {
    const exchange = await this.exchange('GET', getObjectPath(name));
    if (exchange.kind === 'answer' && exchange.httpStatus === HTTP_NOT_FOUND)
      return {kind: 'absent'};
    const object = getValue(exchange, zod.object({text: zod.string()}));
    return object === undefined
      ? {kind: 'unavailable'}
      : {kind: 'object', text: object.text};
  }

  /** Gets the lagging list of VMs. */
  async listVms(): Promise<platform.VmListResult> {
    const exchange = await this.exchange('GET', '/vms');
    const vms = getValue(exchange, codecs.listedVmsSchema);
    return vms === undefined ? {kind: 'unavailable'} : {kind: 'vms', vms};
  }

  /** Lets go of connections. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async exchange(
    method: 'GET' | 'POST' | 'PUT',
    path: string,
    body?: object,
  ): Promise<Exchange> {
    const timeout = new http.ReadTimeout(ANSWER_TIMEOUT_MS);
    try {
      const response = await this.pool.request({
        method,
        path,
        headers: {'content-type': 'application/json'},
        body: body === undefined ? null : JSON.stringify(body),
        signal: timeout.signal,
      });
      const text = await response.body.text();
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
  exchange: Exchange,
  schema: zod.ZodType<T>,
): T | undefined {
  if (exchange.kind !== 'answer' || exchange.httpStatus !== HTTP_OK)
    return undefined;
  return codecs.parseJsonOrThrow(schema, exchange.text, 'invalidRow');
}
