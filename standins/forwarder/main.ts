import * as http from 'node:http';
import * as stream from 'node:stream';
import * as h3 from 'h3';
import * as undici from 'undici';
import * as processOutput from '../processes/processOutput.js';

const MAX_CONNECTIONS = 48;

/** Connections to the upstream that receives all requests; the TARGET variable is its host:port. */
const pool = new undici.Pool(`http://${process.env['TARGET'] ?? ''}`, {
  connections: MAX_CONNECTIONS,
});

/** Forwards a request with Node.js streams and without any routing: the baseline of the benchmark. */
async function forwardWithStreams(
  incoming: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const upstreamResponse = await pool.request({
    method: (incoming.method ?? 'GET') as undici.Dispatcher.HttpMethod,
    path: incoming.url ?? '/',
    headers: {...incoming.headers, connection: undefined},
    body: incoming.method === 'GET' ? null : incoming,
  });
  response.writeHead(upstreamResponse.statusCode, upstreamResponse.headers);
  stream.pipeline(upstreamResponse.body, response, () => {});
}

/** Forwards a request and answers with h3's web Response, for comparison with streams. */
async function forwardWithWebResponse(event: h3.H3Event): Promise<Response> {
  const upstreamResponse = await pool.request({
    method: event.req.method as undici.Dispatcher.HttpMethod,
    path: event.url.pathname + event.url.search,
    headers: Object.fromEntries(event.req.headers),
  });
  return new Response(
    stream.Readable.toWeb(upstreamResponse.body) as ReadableStream,
    {
      status: upstreamResponse.statusCode,
      headers: upstreamResponse.headers as Record<string, string>,
    },
  );
}

const app = new h3.H3();
app.all('/web/**', forwardWithWebResponse);
app.all(
  '/**',
  h3.fromNodeHandler((incoming, response) =>
    forwardWithStreams(
      incoming as http.IncomingMessage,
      response as http.ServerResponse,
    ),
  ),
);
processOutput.listenAndPrintAddress(http.createServer(h3.toNodeHandler(app)));
