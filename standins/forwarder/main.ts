import * as http from 'node:http';
import * as stream from 'node:stream';
import * as h3 from 'h3';
import * as undici from 'undici';
import * as announce from '../processes/announce.js';

const MAX_CONNECTIONS = 48;

/** The origin of the one upstream that everything goes to. */
const pool = new undici.Pool(`http://${process.env['TARGET'] ?? ''}`, {
  connections: MAX_CONNECTIONS,
});

/** Forwards on node's streams and decides nothing: the baseline of the benchmark. */
async function forwardStreams(
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const answer = await pool.request({
    method: (incoming.method ?? 'GET') as undici.Dispatcher.HttpMethod,
    path: incoming.url ?? '/',
    headers: {...incoming.headers, connection: undefined},
    body: incoming.method === 'GET' ? null : incoming,
  });
  response.writeHead(answer.statusCode, answer.headers);
  stream.pipeline(answer.body, response, () => {});
}

/** Forwards through h3's web Response, for comparison. */
async function forwardWeb(event: h3.H3Event): Promise<Response> {
  const answer = await pool.request({
    method: event.req.method as undici.Dispatcher.HttpMethod,
    path: event.url.pathname + event.url.search,
    headers: Object.fromEntries(event.req.headers),
  });
  return new Response(stream.Readable.toWeb(answer.body) as ReadableStream, {
    status: answer.statusCode,
    headers: answer.headers as Record<string, string>,
  });
}

const app = new h3.H3();
app.all('/web/**', forwardWeb);
app.all(
  '/**',
  h3.fromNodeHandler((incoming, response) =>
    forwardStreams(
      incoming as http.IncomingMessage,
      response as http.ServerResponse,
    ),
  ),
);
announce.announceListening(http.createServer(h3.toNodeHandler(app)));
