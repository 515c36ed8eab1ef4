// Stand-in of the platform's store: rows, transactions and the change feed, in memory.
import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import * as http from 'node:http';

export class Store {
  #rows = new Map();
  #version = 1;
  #waiting = new Set();
  #server = http.createServer((request, response) =>
    this.#handle(request, response),
  );

  /** Answers a call before the store does: returns true when it has taken the call over. */
  intercept = () => false;

  async open(host) {
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  put(table, key, value) {
    this.#version += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.#set(table, '', key, text, false);
    this.#wake();
  }

  remove(table, key) {
    this.#version += 1;
    this.#set(table, '', key, undefined, true);
    this.#wake();
  }

  keys(table) {
    return this.#list(table, '').map(row => row.Key);
  }

  #set(table, part, key, value, isDeleted) {
    this.#rows.set(JSON.stringify([table, part, key]), {
      Table: table,
      part,
      Key: key,
      SchemaVersion: this.#version,
      ...(isDeleted ? {Tombstone: true} : {Value: value}),
    });
  }

  #list(table, part) {
    return [...this.#rows.values()]
      .filter(row => row.Table === table && row.part === part && !row.Tombstone)
      .sort((a, b) => (a.Key < b.Key ? -1 : 1));
  }

  #wake() {
    for (const wake of this.#waiting) wake();
  }

  #fields() {
    return {
      SchemaVersion: this.#version,
      Now: `${Math.round(performance.now())}ms`,
    };
  }

  async #handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks).toString('utf8');
    const url = new URL(request.url, 'http://store');
    if (
      this.intercept({
        request,
        response,
        url,
        body,
        execute: () => this.execute(url, body),
      })
    )
      return;
    const {status, answer} = await this.execute(url, body, request);
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(JSON.stringify(answer));
  }

  async execute(url, body, request) {
    const query = url.searchParams;
    switch (url.pathname) {
      case '/api/rows-get': {
        const all = this.#list(query.get('Table'), query.get('part') ?? '')
          .filter(row => row.Key >= (query.get('From') ?? ''))
          .filter(row => !query.has('Target') || row.Key < query.get('Target'));
        const limit = Number(query.get('Limit') ?? 500);
        const answer = {
          Rows: all.slice(0, limit),
          Truncated: all.length > limit,
          ...this.#fields(),
        };
        return {status: 200, answer};
      }
      case '/api/rows-tx':
        return this.#transact(JSON.parse(body));
      case '/api/rows-feed':
        return {status: 200, answer: await this.#feed(query, request)};
      default:
        return {status: 404, answer: {}};
    }
  }

  #transact({ExpectedRevision = [], Writes = [], Remove = []}) {
    const touched = [...Writes, ...Remove];
    if (touched.some(({Table}) => Table === 'op' || Table === 'servers'))
      return {status: 403, answer: {}};
    for (const {Table, part = '', Key, SchemaVersion} of ExpectedRevision) {
      const row = this.#rows.get(JSON.stringify([Table, part, Key]));
      if (
        (row === undefined || row.Tombstone ? 0 : row.SchemaVersion) !==
        SchemaVersion
      )
        return {status: 412, answer: {Rows: [], ...this.#fields()}};
    }
    this.#version += 1;
    for (const {Table, part = '', Key, Value} of Writes)
      this.#set(Table, part, Key, Value, false);
    for (const {Table, part = '', Key} of Remove)
      this.#set(Table, part, Key, undefined, true);
    this.#wake();
    return {status: 200, answer: this.#fields()};
  }

  async #feed(query, request) {
    const untilMs = Date.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      const changed = [...this.#rows.values()]
        .filter(
          row =>
            row.Table === query.get('Table') &&
            row.SchemaVersion > Number(query.get('after')),
        )
        .sort((a, b) => a.SchemaVersion - b.SchemaVersion);
      const leftMs = untilMs - Date.now();
      if (changed.length > 0 || leftMs <= 0 || request?.socket.destroyed)
        return {Rows: changed, ...this.#fields()};
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.#waiting.add(wake);
      });
    }
  }
}
