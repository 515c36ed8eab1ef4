import * as http from 'node:http';
import * as announce from '../processes/announce.js';
import type * as runs from './Run.js';

interface Work {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: string;
}

const upstreamId = process.env['UPSTREAM_ID'] ?? 'upstream';
const slotCount = Number(process.env['SLOTS'] ?? 3);
const serviceMs = Number(process.env['SERVICE_MS'] ?? 5);
const maxQueue = Number(process.env['MAX_QUEUE'] ?? slotCount * 2);
const coldMs = Number(process.env['COLD_MS'] ?? 0);
const isRecording = process.env['RECORDS'] !== 'off';
const startedAtMs = Date.now();
const queue: Work[] = [];
let busyCount = 0;
let lineCount = 0;
let status: 'active' | 'draining' = 'active';
let reportedBusy: number | undefined;
let mode = 'normal';
let lastAnswer = {requestId: '', text: ''};

function getHeader(request: http.IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function refuse({request, response}: Work, reason: string): void {
  response.writeHead(503, {
    'content-type': 'application/json',
    'x-bramleyrun-not-run': 'true',
    'x-bramleyrun-request-id': getHeader(request, 'x-bramleyrun-request-id'),
  });
  response.end(JSON.stringify({reason}));
}

function isLate(request: http.IncomingMessage): boolean {
  const deadlineMs = Number(getHeader(request, 'x-bramleyrun-deadline-ms'));
  return deadlineMs > 0 && Date.now() > deadlineMs;
}

function record(work: Work, run: runs.Run['run']): void {
  if (!isRecording) return;
  const {request, body} = work;
  const line: runs.Run = {
    run,
    upstreamId,
    requestId: getHeader(request, 'x-bramleyrun-request-id'),
    idempotencyKey: getHeader(request, 'idempotency-key'),
    organisationId: getHeader(request, 'x-bramleyrun-organisation'),
    target: request.url ?? '',
    atMs: Date.now(),
    seen: JSON.stringify(request.rawHeaders) + (request.url ?? '') + body,
  };
  announce.writeLine(line);
  lineCount += 1;
}

function accept(work: Work): void {
  if (isLate(work.request)) return refuse(work, 'late');
  if (status === 'draining') return refuse(work, 'draining');
  if (busyCount < slotCount) return run(work);
  if (queue.length >= maxQueue) return refuse(work, 'full');
  queue.push(work);
}

function next(): void {
  busyCount -= 1;
  for (;;) {
    const work = queue.shift();
    if (work === undefined) return;
    if (work.response.destroyed) continue;
    if (isLate(work.request)) refuse(work, 'late');
    else return run(work);
  }
}

function run(work: Work): void {
  const {request, response} = work;
  const url = new URL(request.url ?? '/', 'http://upstream');
  busyCount += 1;
  record(work, 'started');
  if (url.pathname.endsWith('/crash')) process.exit(1);
  const isCold = Date.now() - startedAtMs < coldMs;
  const wantedMs = Number(url.searchParams.get('ms') ?? serviceMs);
  let isFinished = false;
  const timer = setTimeout(
    () => {
      isFinished = true;
      record(work, 'finished');
      answer(work, url);
      next();
    },
    isCold ? wantedMs * 4 : wantedMs,
  );
  response.once('close', () => {
    if (isFinished) return;
    clearTimeout(timer);
    record(work, 'cancelled');
    next();
  });
}

function answer(work: Work, url: URL): void {
  const {request, response, body} = work;
  const requestId = getHeader(request, 'x-bramleyrun-request-id');
  const size = Number(url.searchParams.get('size') ?? 0);
  const target = request.url;
  const text = JSON.stringify({
    upstreamId,
    target,
    body,
    pad: 'x'.repeat(size),
  });
  const isCrossed = mode === 'cross' && lastAnswer.requestId !== '';
  const sent = isCrossed ? lastAnswer : {requestId, text};
  lastAnswer = {requestId, text};
  response.writeHead(200, {
    'content-type': 'application/json',
    'x-bramleyrun-request-id': sent.requestId,
    'content-length': Buffer.byteLength(sent.text),
  });
  if (mode === 'truncate') {
    response.write(sent.text.slice(0, sent.text.length / 2));
    setTimeout(() => response.destroy(), 5);
    return;
  }
  response.end(sent.text);
}

function control(response: http.ServerResponse, body: string): void {
  const wanted = JSON.parse(body) as {
    readonly status?: typeof status;
    readonly mode?: string;
    readonly reportedBusy?: number;
  };
  status = wanted.status ?? status;
  mode = wanted.mode ?? mode;
  reportedBusy = wanted.reportedBusy ?? reportedBusy;
  response.end(JSON.stringify({lineCount}));
}

const server = http.createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    if (request.url === '/control') return control(response, body);
    if (request.url !== '/load') return accept({request, response, body});
    const load = {busyCount: reportedBusy ?? busyCount + queue.length, status};
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify(load));
  });
});
server.keepAliveTimeout = 10_000;
announce.announceListening(server);
