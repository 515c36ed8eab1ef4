import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as sockets from '../proxy/resetSocket.js';

/** How the store misbehaves towards the callers of one address, or all. */
export type StoreFault =
  | {readonly kind: 'none'}
  | {readonly kind: 'refuse'; readonly httpStatus: number}
  /** Readings of one table are refused, and waits for its changes. */
  | {readonly kind: 'refuseReads'; readonly table: string}
  | {readonly kind: 'reset'}
  /** Calls are never answered, and do nothing. */
  | {readonly kind: 'silence'}
  /** Answers come late by this time in milliseconds. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Writes are done and not answered. */
  | {readonly kind: 'loseWriteAnswers'};

interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly isDropped: boolean;
}

interface RowName {
  readonly Table: string;
  readonly part?: string;
  readonly Key: string;
}

interface Transaction {
  readonly ExpectedRevision?: readonly (RowName & {SchemaVersion: number})[];
  readonly Writes?: readonly (RowName & {Value: string})[];
  readonly Remove?: readonly RowName[];
}

const HTTP_UNAVAILABLE = 503;

/** The rows that one answer holds at most. */
const PAGE_ROWS = 500;

/** The platform's store as its pages publish it: rows, transactions and the feed of changes. */
export class PublishedStore {
  private readonly server = http.createServer(
    (request, response) => void this.handle(request, response),
  );
  private readonly rows = new Map<string, Row>();
  private readonly changes = new events.EventEmitter().setMaxListeners(0);
  private readonly faults = new Map<string, StoreFault>();
  private readonly sockets = new Set<net.Socket>();
  private readonly silentSockets = new WeakSet<net.Socket>();
  private version = 1;
  private historyFrom = 0;
  private callCount = 0;
  private readonly readCounts = new Map<string, number>();

  /** Starts to listen on a free port; gives the address as host:port. */
  async open(host = '127.0.0.1'): Promise<string> {
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>(resolve => this.server.listen(0, host, resolve));
    const {port} = this.server.address() as net.AddressInfo;
    return `${host}:${port}`;
  }

  /** Closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Gets how many calls came in. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Gets how many calls came in that read a table or wait for its changes. */
  getReadCount(table: string): number {
    return this.readCounts.get(table) ?? 0;
  }

  /** Nothing is answered any more on the connections that are open now; new ones work. */
  silenceConnections(): void {
    for (const socket of this.sockets) this.silentSockets.add(socket);
  }

  /** Misbehaves towards the callers of one address from now on, or towards all. */
  setFault(fault: StoreFault, callerAddress = ''): void {
    this.faults.set(callerAddress, fault);
  }

  /** Forgets the history of changes. */
  compact(): void {
    this.historyFrom = this.version;
  }

  /** Writes a row of the operator or of an upstream. */
  put(table: string, key: string, value: unknown): void {
    this.version += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.set(table, '', key, Buffer.from(text).toString('base64'), false);
  }

  /** Drops a row. */
  drop(table: string, key: string): void {
    this.version += 1;
    this.set(table, '', key, '', true);
  }

  /** Gets the keys of a table's rows. */
  getKeys(table: string): readonly string[] {
    return this.getRows(table, '').map(row => row.key);
  }

  private set(
    table: string,
    part: string,
    key: string,
    value: string,
    isDropped: boolean,
  ): void {
    const {version} = this;
    const row = {table, part, key, value, version, isDropped};
    this.rows.set(`${table}|${part}|${key}`, row);
    this.changes.emit('change');
  }

  private getRows(table: string, part: string): readonly Row[] {
    return [...this.rows.values()]
      .filter(row => row.table === table && row.part === part && !row.isDropped)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.callCount += 1;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const url = new URL(request.url ?? '/', 'http://store');
    const table = url.searchParams.get('Table') ?? '';
    this.readCounts.set(table, this.getReadCount(table) + 1);
    const fault = this.getFault(request.socket.remoteAddress ?? '');
    switch (fault.kind) {
      case 'refuse':
        response.writeHead(fault.httpStatus).end();
        return;
      case 'refuseReads':
        if (fault.table !== table) break;
        response.writeHead(HTTP_UNAVAILABLE).end();
        return;
      case 'reset':
        sockets.resetSocket(request.socket);
        return;
      case 'silence':
        return;
      case 'delay':
        await new Promise(resolve => setTimeout(resolve, fault.delayMs));
        break;
      case 'loseWriteAnswers':
      case 'none':
        break;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const answer = await this.answer(url, body, request);
    if (this.silentSockets.has(request.socket)) return;
    const isWrite = url.pathname === '/api/rows-tx';
    if (fault.kind === 'loseWriteAnswers' && isWrite) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.httpStatus, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer.body));
  }

  private getFault(callerAddress: string): StoreFault {
    return (
      this.faults.get(callerAddress) ?? this.faults.get('') ?? {kind: 'none'}
    );
  }

  private async answer(
    url: URL,
    body: string,
    request: http.IncomingMessage,
  ): Promise<{readonly httpStatus: number; readonly body: object}> {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/rows-get':
        return {httpStatus: 200, body: this.read(query)};
      case '/api/rows-tx':
        return this.transact(JSON.parse(body) as Transaction);
      case '/api/rows-feed':
        return await this.feed(query, request);
      default:
        return {httpStatus: 404, body: {}};
    }
  }

  private read(query: URLSearchParams): object {
    const from = query.get('From') ?? '';
    const limit = Number(query.get('Limit') ?? PAGE_ROWS);
    const all = this.getRows(
      query.get('Table') ?? '',
      query.get('part') ?? '',
    ).filter(row => row.key >= from);
    return {
      Rows: all.slice(0, limit).map(toWire),
      Truncated: all.length > limit,
      ...this.getHead(),
    };
  }

  private transact(transaction: Transaction): {
    readonly httpStatus: number;
    readonly body: object;
  } {
    const failed = (transaction.ExpectedRevision ?? []).filter(expected => {
      const row = this.rows.get(getName(expected));
      const version = row === undefined || row.isDropped ? 0 : row.version;
      return version !== expected.SchemaVersion;
    });
    if (failed.length > 0) return {httpStatus: 412, body: this.getHead()};
    this.version += 1;
    for (const write of transaction.Writes ?? [])
      this.set(write.Table, write.part ?? '', write.Key, write.Value, false);
    for (const name of transaction.Remove ?? [])
      this.set(name.Table, name.part ?? '', name.Key, '', true);
    return {httpStatus: 200, body: this.getHead()};
  }

  private async feed(
    query: URLSearchParams,
    request: http.IncomingMessage,
  ): Promise<{readonly httpStatus: number; readonly body: object}> {
    const table = query.get('Table') ?? '';
    const after = Number(query.get('after'));
    const deadlineMs = Date.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      if (after < this.historyFrom) return {httpStatus: 410, body: {}};
      const changed = [...this.rows.values()]
        .filter(row => row.table === table && row.version > after)
        .sort((a, b) => a.version - b.version);
      const remainingMs = deadlineMs - Date.now();
      if (changed.length > 0 || remainingMs <= 0 || request.socket.destroyed)
        return {
          httpStatus: 200,
          body: {Rows: changed.map(toWire), ...this.getHead()},
        };
      await this.waitForChange(remainingMs);
    }
  }

  private async waitForChange(remainingMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(done, remainingMs);
      this.changes.once('change', done);
      const {changes} = this;
      function done(): void {
        clearTimeout(timer);
        changes.off('change', done);
        resolve();
      }
    });
  }

  private getHead(): object {
    return {
      SchemaVersion: this.version,
      Now: `${Math.round(performance.now())}ms`,
    };
  }
}

function getName(name: RowName): string {
  return `${name.Table}|${name.part ?? ''}|${name.Key}`;
}

function toWire(row: Row): object {
  return {
    Table: row.table,
    part: row.part,
    Key: row.key,
    SchemaVersion: row.version,
    ...(row.isDropped ? {Tombstone: true} : {Value: row.value}),
  };
}
