import * as events from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as sockets from '../proxy/resetSocket.js';

/** A fault that the store injects into the requests of the callers at one address, or of all callers. */
export type StoreFault =
  | {readonly kind: 'none'}
  | {readonly kind: 'refuse'; readonly httpStatus: number}
  /** Reads of one table, and of its change feed, are refused with status 503. */
  | {readonly kind: 'refuseReads'; readonly table: string}
  /** The connection is reset without an answer. */
  | {readonly kind: 'reset'}
  /** Requests are neither executed nor answered; the connection stays open. */
  | {readonly kind: 'silence'}
  /** Requests are executed and answered after this delay in milliseconds. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Requests are executed at once and answered after this delay in milliseconds, as over a slow link. */
  | {readonly kind: 'delayAnswers'; readonly delayMs: number}
  /** Requests are executed at once, and their answers arrive piece by piece within this time in milliseconds. */
  | {readonly kind: 'slowAnswers'; readonly durationMs: number}
  /** Writes are executed, but the connection is closed instead of an answer. */
  | {readonly kind: 'loseWriteAnswers'};

interface Row {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly isDeleted: boolean;
}

/** The rows and the counter of versions at one moment. */
export interface StoreCopy {
  readonly rows: ReadonlyMap<string, Row>;
  readonly version: number;
}

/** What happens to the calls that wait for changes while the store returns from a copy. */
export type WaitsAtReturn =
  /** They are refused, as by a store that has started again. */
  | 'refused'
  /** They go on, and are answered with the changes after their version in the returned history. */
  | 'continued';

interface RowIdentity {
  readonly Table: string;
  readonly part?: string;
  readonly Key: string;
}

interface Transaction {
  readonly ExpectedRevision?: readonly (RowIdentity & {
    SchemaVersion: number;
  })[];
  readonly Writes?: readonly (RowIdentity & {Value: string})[];
  readonly Remove?: readonly RowIdentity[];
}

const HTTP_UNAVAILABLE = 503;

/** The number of pieces in which a slow answer is sent. */
const SLOW_PIECE_COUNT = 20;

/** The maximum number of rows in one answer when the request sets no limit. */
const MAX_PAGE_ROWS = 500;

/** Stand-in for the platform's store with its documented HTTP API: rows, transactions and the change feed. */
export class FakeStore {
  private readonly server = http.createServer(
    (request, response) => void this.handleRequest(request, response),
  );
  private rows = new Map<string, Row>();
  private readonly changeEmitter = new events.EventEmitter().setMaxListeners(0);
  private readonly faults = new Map<string, StoreFault>();
  private readonly sockets = new Set<net.Socket>();
  private readonly silentSockets = new WeakSet<net.Socket>();
  private version = 1;
  private era = 1;
  private eraHeader: string | undefined;
  private waitsRefusedCount = 0;
  private compactedVersion = 0;
  private callCount = 0;
  private readonly readCounts = new Map<string, number>();

  /** Starts listening on a free port; returns the address as host:port. */
  async open(host = '127.0.0.1'): Promise<string> {
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise<void>(resolve => this.server.listen(0, host, resolve));
    const {port} = this.server.address() as net.AddressInfo;
    return `${host}:${port}`;
  }

  /** Stops listening, closes all connections and ends the waits for changes. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
    this.changeEmitter.emit('change');
  }

  /** Gets the number of requests received. */
  getCallCount(): number {
    return this.callCount;
  }

  /** Gets the number of requests received that read a table or its change feed. */
  getReadCount(table: string): number {
    return this.readCounts.get(table) ?? 0;
  }

  /** Stops answering on the connections that are open now; connections opened later are answered. */
  silenceConnections(): void {
    for (const socket of this.sockets) this.silentSockets.add(socket);
  }

  /** Sets the fault for the callers at one IP address, or for all callers that have no fault of their own. */
  setFault(fault: StoreFault, callerAddress = ''): void {
    this.faults.set(callerAddress, fault);
  }

  /** Discards the history of changes: feeds that start at an older version get status 410. */
  compact(): void {
    this.compactedVersion = this.version;
  }

  /** Names the era of the store in the header `Store-Era` of all answers, as a store that can return from a copy does. */
  nameEra(): void {
    this.eraHeader = String(this.era);
  }

  /** Sets the header `Store-Era` of further answers, whatever the era is; undefined leaves it out. */
  setEraHeader(value: string | undefined): void {
    this.eraHeader = value;
  }

  /** Gets a copy of the rows, from which the store can return. */
  copy(): StoreCopy {
    return {rows: new Map(this.rows), version: this.version};
  }

  /** Returns from a copy: later writes are lost, their versions are given out again, and a new era begins. */
  returnFrom(copy: StoreCopy, waits: WaitsAtReturn = 'refused'): void {
    this.rows = new Map(copy.rows);
    this.version = copy.version;
    this.compactedVersion = Math.min(this.compactedVersion, copy.version);
    this.era += 1;
    if (this.eraHeader !== undefined) this.nameEra();
    if (waits === 'refused') this.waitsRefusedCount += 1;
    this.changeEmitter.emit('change');
  }

  /** Raises the counter of versions, as writes to other tables do. */
  addTransactions(count: number): void {
    this.version += count;
  }

  /** Writes a row as an operator or an upstream would; a string is stored as it is, any other value as JSON. */
  put(table: string, key: string, value: unknown): void {
    this.version += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.setRow(table, '', key, Buffer.from(text).toString('base64'), false);
  }

  /** Deletes a row; the change feed then contains a tombstone for it. */
  deleteRow(table: string, key: string): void {
    this.version += 1;
    this.setRow(table, '', key, '', true);
  }

  /** Gets the keys of a table's rows. */
  getKeys(table: string): readonly string[] {
    return this.getRows(table, '').map(row => row.key);
  }

  private setRow(
    table: string,
    part: string,
    key: string,
    value: string,
    isDeleted: boolean,
  ): void {
    const {version} = this;
    const row = {table, part, key, value, version, isDeleted};
    this.rows.set(`${table}|${part}|${key}`, row);
    this.changeEmitter.emit('change');
  }

  private getRows(table: string, part: string): readonly Row[] {
    return [...this.rows.values()]
      .filter(row => row.table === table && row.part === part && !row.isDeleted)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  private async handleRequest(
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
        response.writeHead(fault.httpStatus, this.getEraHeaders()).end();
        return;
      case 'refuseReads':
        if (fault.table !== table) break;
        response.writeHead(HTTP_UNAVAILABLE, this.getEraHeaders()).end();
        return;
      case 'reset':
        sockets.resetSocket(request.socket);
        return;
      case 'silence':
        return;
      case 'delay':
        await new Promise(resolve => setTimeout(resolve, fault.delayMs));
        break;
      case 'delayAnswers':
      case 'slowAnswers':
      case 'loseWriteAnswers':
      case 'none':
        break;
    }
    const body = Buffer.concat(chunks).toString('utf8');
    const answer = await this.createAnswer(url, body, request);
    if (fault.kind === 'delayAnswers')
      await new Promise(resolve => setTimeout(resolve, fault.delayMs));
    if (this.silentSockets.has(request.socket)) return;
    const isWrite = url.pathname === '/api/rows-tx';
    if (fault.kind === 'loseWriteAnswers' && isWrite) {
      request.socket.destroy();
      return;
    }
    response.writeHead(answer.httpStatus, {
      'content-type': 'application/json',
      ...this.getEraHeaders(),
    });
    const text = JSON.stringify(answer.body);
    if (fault.kind === 'slowAnswers')
      await sendSlowly(response, text, fault.durationMs);
    response.end(fault.kind === 'slowAnswers' ? '' : text);
  }

  private getEraHeaders(): Readonly<Record<string, string>> {
    return this.eraHeader === undefined ? {} : {'store-era': this.eraHeader};
  }

  private getFault(callerAddress: string): StoreFault {
    return (
      this.faults.get(callerAddress) ?? this.faults.get('') ?? {kind: 'none'}
    );
  }

  private async createAnswer(
    url: URL,
    body: string,
    request: http.IncomingMessage,
  ): Promise<{readonly httpStatus: number; readonly body: object}> {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/rows-get':
        return {httpStatus: 200, body: this.readRows(query)};
      case '/api/rows-tx':
        return this.transact(JSON.parse(body) as Transaction);
      case '/api/rows-feed':
        return await this.readFeed(query, request);
      default:
        return {httpStatus: 404, body: {}};
    }
  }

  private readRows(query: URLSearchParams): object {
    const from = query.get('From') ?? '';
    const limit = Number(query.get('Limit') ?? MAX_PAGE_ROWS);
    const all = this.getRows(
      query.get('Table') ?? '',
      query.get('part') ?? '',
    ).filter(row => row.key >= from);
    return {
      Rows: all.slice(0, limit).map(toWireRow),
      Truncated: all.length > limit,
      ...this.getVersionFields(),
    };
  }

  private transact(transaction: Transaction): {
    readonly httpStatus: number;
    readonly body: object;
  } {
    const failed = (transaction.ExpectedRevision ?? []).filter(expected => {
      const row = this.rows.get(getRowKey(expected));
      const version = row === undefined || row.isDeleted ? 0 : row.version;
      return version !== expected.SchemaVersion;
    });
    if (failed.length > 0)
      return {httpStatus: 412, body: this.getVersionFields()};
    this.version += 1;
    for (const write of transaction.Writes ?? [])
      this.setRow(write.Table, write.part ?? '', write.Key, write.Value, false);
    for (const name of transaction.Remove ?? [])
      this.setRow(name.Table, name.part ?? '', name.Key, '', true);
    return {httpStatus: 200, body: this.getVersionFields()};
  }

  private async readFeed(
    query: URLSearchParams,
    request: http.IncomingMessage,
  ): Promise<{readonly httpStatus: number; readonly body: object}> {
    const table = query.get('Table') ?? '';
    const after = Number(query.get('after'));
    const deadlineMs = Date.now() + Number(query.get('WaitMs') ?? 0);
    const {waitsRefusedCount} = this;
    // The version that a wait begins with is there, unless the store has returned from an older copy.
    if (after > this.version) return {httpStatus: 410, body: {}};
    for (;;) {
      if (after < this.compactedVersion) return {httpStatus: 410, body: {}};
      if (waitsRefusedCount !== this.waitsRefusedCount)
        return {httpStatus: HTTP_UNAVAILABLE, body: {}};
      const changed = [...this.rows.values()]
        .filter(row => row.table === table && row.version > after)
        .sort((a, b) => a.version - b.version);
      const remainingMs = deadlineMs - Date.now();
      if (changed.length > 0 || remainingMs <= 0 || request.socket.destroyed)
        return {
          httpStatus: 200,
          body: {Rows: changed.map(toWireRow), ...this.getVersionFields()},
        };
      await this.waitForChange(remainingMs);
    }
  }

  private async waitForChange(remainingMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(done, remainingMs);
      this.changeEmitter.once('change', done);
      const {changeEmitter} = this;
      function done(): void {
        clearTimeout(timer);
        changeEmitter.off('change', done);
        resolve();
      }
    });
  }

  private getVersionFields(): object {
    return {
      SchemaVersion: this.version,
      Now: `${Math.round(performance.now())}ms`,
    };
  }
}

async function sendSlowly(
  response: http.ServerResponse,
  text: string,
  durationMs: number,
): Promise<void> {
  const pieceLength = Math.ceil(text.length / SLOW_PIECE_COUNT);
  for (let from = 0; from < text.length; from += pieceLength) {
    response.write(text.slice(from, from + pieceLength));
    await new Promise(resolve =>
      setTimeout(resolve, durationMs / SLOW_PIECE_COUNT),
    );
  }
}

function getRowKey(name: RowIdentity): string {
  return `${name.Table}|${name.part ?? ''}|${name.Key}`;
}

function toWireRow(row: Row): object {
  return {
    Table: row.table,
    part: row.part,
    Key: row.key,
    SchemaVersion: row.version,
    ...(row.isDeleted ? {Tombstone: true} : {Value: row.value}),
  };
}
