import * as upstreams from '../../../standins/store/RawUpstream.js';

/**
 * Starts an upstream that writes `answer`, complete or cut short, to each connection that sends a request and then
 * closes the connection. Calls `run` with its address and stops it afterwards.
 *
 * @param delayMs How long the connection stays open behind the answer, in milliseconds.
 */
export async function withClosingUpstream(
  answer: string,
  kind: upstreams.CloseKind,
  run: (address: string) => Promise<void>,
  delayMs = 0,
): Promise<void> {
  const upstream = new upstreams.RawUpstream();
  upstream.answer = answer;
  upstream.connectionUse = kind;
  upstream.closeDelayMs = delayMs;
  try {
    await run(await upstream.open());
  } finally {
    upstream.close();
  }
}

/**
 * Returns complete answers to the request `q`: with a content length, with a content length and `connection: close`,
 * and chunked with `connection: close`. `requestIdHeader` names the header that carries the request's ID.
 */
export function getFramedAnswers(requestIdHeader: string): readonly string[] {
  const head = `HTTP/1.1 200 OK\r\n${requestIdHeader}: q\r\nx-response-seal: s\r\n`;
  const framings = [
    'content-length: 6\r\n\r\nanswer',
    'connection: close\r\ncontent-length: 6\r\n\r\nanswer',
    'connection: close\r\ntransfer-encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n',
  ];
  return framings.map(framing => head + framing);
}
