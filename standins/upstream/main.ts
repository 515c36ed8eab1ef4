import * as http from 'node:http';
import * as processOutput from '../processes/processOutput.js';
import type * as runs from './RunEvent.js';

/** A request whose body has been read in full. */
interface ReceivedRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly body: string;
}

// The settings are environment variables; times are in milliseconds.
const upstreamId = process.env['UPSTREAM_ID'] ?? 'upstream';
const slotCount = Number(process.env['SLOTS'] ?? 3);
const serviceMs = Number(process.env['SERVICE_MS'] ?? 5);
const maxQueueLength = Number(process.env['MAX_QUEUE'] ?? slotCount * 2);
const coldMs = Number(process.env['COLD_MS'] ?? 0);
const isPrintingRuns = process.env['RECORDS'] !== 'off';
const startedAtMs = Date.now();
const queue: ReceivedRequest[] = [];
let busyCount = 0;

/** The number of run events printed so far; a test waits until it has received as many. */
let lineCount = 0;

let status: 'active' | 'draining' = 'active';

/** The load that /load reports instead of the actual one, if a test has set it. */
let reportedBusy: number | undefined;

let mode = 'normal';

/** The answer to the previous request, which mode 'cross' sends again. */
let lastAnswer = {requestId: '', text: ''};

function getHeader(request: http.IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Answers that the request was not run. */
function refuse({request, response}: ReceivedRequest, reason: string): void {
  response.writeHead(503, {
    'content-type': 'application/json',
    'x-bramleyrun-not-run': 'true',
    'x-bramleyrun-request-id': getHeader(request, 'x-bramleyrun-request-id'),
  });
  response.end(JSON.stringify({reason}));
}

/** Whether the deadline in the request's header has passed. */
function isPastDeadline(request: http.IncomingMessage): boolean {
  const deadlineMs = Number(getHeader(request, 'x-bramleyrun-deadline-ms'));
  return deadlineMs > 0 && Date.now() > deadlineMs;
}

function printRunEvent(
  received: ReceivedRequest,
  runState: runs.RunEvent['run'],
): void {
  if (!isPrintingRuns) return;
  const {request, body} = received;
  const line: runs.RunEvent = {
    run: runState,
    upstreamId,
    requestId: getHeader(request, 'x-bramleyrun-request-id'),
    idempotencyKey: getHeader(request, 'idempotency-key'),
    organisationId: getHeader(request, 'x-bramleyrun-organisation'),
    target: request.url ?? '',
    atMs: Date.now(),
    seen: JSON.stringify(request.rawHeaders) + (request.url ?? '') + body,
  };
  processOutput.printJsonLine(line);
  lineCount += 1;
}

/** Starts a request when a slot is free; otherwise queues it, or refuses it when the queue is full. */
function admit(received: ReceivedRequest): void {
  if (isPastDeadline(received.request)) return refuse(received, 'late');
  if (status === 'draining') return refuse(received, 'draining');
  if (busyCount < slotCount) return start(received);
  if (queue.length >= maxQueueLength) return refuse(received, 'full');
  queue.push(received);
}

/**
 * Frees a slot and starts the next queued request. Skips requests whose connection has closed and refuses those whose
 * deadline has passed.
 */
function startNext(): void {
  busyCount -= 1;
  for (;;) {
    const received = queue.shift();
    if (received === undefined) return;
    if (received.response.destroyed) continue;
    if (isPastDeadline(received.request)) refuse(received, 'late');
    else return start(received);
  }
}

/** Runs a request for its service time, or until the connection closes. */
function start(received: ReceivedRequest): void {
  const {request, response} = received;
  const url = new URL(request.url ?? '/', 'http://upstream');
  busyCount += 1;
  printRunEvent(received, 'started');
  if (url.pathname.endsWith('/crash')) process.exit(1);
  const isCold = Date.now() - startedAtMs < coldMs;
  const requestedMs = Number(url.searchParams.get('ms') ?? serviceMs);
  let isFinished = false;
  const timer = setTimeout(
    () => {
      isFinished = true;
      printRunEvent(received, 'finished');
      sendAnswer(received, url);
      startNext();
    },
    isCold ? requestedMs * 4 : requestedMs,
  );
  response.once('close', () => {
    if (isFinished) return;
    clearTimeout(timer);
    printRunEvent(received, 'cancelled');
    startNext();
  });
}

/** Sends the answer; in mode 'cross' the previous request's answer, in mode 'truncate' only the first half. */
function sendAnswer(received: ReceivedRequest, url: URL): void {
  const {request, response, body} = received;
  const requestId = getHeader(request, 'x-bramleyrun-request-id');
  const padBytes = Number(url.searchParams.get('size') ?? 0);
  const target = request.url;
  const text = JSON.stringify({
    upstreamId,
    target,
    body,
    pad: 'x'.repeat(padBytes),
  });
  const isPreviousAnswer = mode === 'cross' && lastAnswer.requestId !== '';
  const answerToSend = isPreviousAnswer ? lastAnswer : {requestId, text};
  lastAnswer = {requestId, text};
  response.writeHead(200, {
    'content-type': 'application/json',
    'x-bramleyrun-request-id': answerToSend.requestId,
    'content-length': Buffer.byteLength(answerToSend.text),
  });
  if (mode === 'truncate') {
    response.write(answerToSend.text.slice(0, answerToSend.text.length / 2));
    setTimeout(() => response.destroy(), 5);
    return;
  }
  response.end(answerToSend.text);
}

/** Changes the fields that a test sent to /control, and answers with the number of run events printed so far. */
function applyControl(response: http.ServerResponse, body: string): void {
  const changes = JSON.parse(body) as {
    readonly status?: typeof status;
    readonly mode?: string;
    readonly reportedBusy?: number;
  };
  status = changes.status ?? status;
  mode = changes.mode ?? mode;
  reportedBusy = changes.reportedBusy ?? reportedBusy;
  response.end(JSON.stringify({lineCount}));
}

const server = http.createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const body = Buffer.concat(chunks).toString('utf8');
    if (request.url === '/control') return applyControl(response, body);
    if (request.url !== '/load') return admit({request, response, body});
    const load = {busyCount: reportedBusy ?? busyCount + queue.length, status};
    response.writeHead(200, {'content-type': 'application/json'});
    response.end(JSON.stringify(load));
  });
});
server.keepAliveTimeout = 10_000;
processOutput.listenAndPrintAddress(server);
