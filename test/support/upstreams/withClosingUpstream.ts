import * as upstreams from '../../../standins/store/RawUpstream.js';

/** How an upstream that closes its connections goes about it. */
export interface ClosingOptions {
  /** How long the connection stays open behind the answer, in milliseconds; 0 by default. */
  readonly delayMs?: number;

  /** Whether the rest of the request is read once the answer has been sent; true by default. */
  readonly isReadingOn?: boolean;
}

/**
 * Starts an upstream that writes `answer`, complete or cut short, to each connection as soon as the first bytes of a
 * request have arrived, and then closes the connection. Calls `run` with its address and stops it afterwards.
 */
export async function withClosingUpstream<T>(
  answer: string,
  kind: upstreams.CloseKind,
  run: (address: string) => Promise<T>,
  {delayMs = 0, isReadingOn = true}: ClosingOptions = {},
): Promise<T> {
  const upstream = new upstreams.RawUpstream();
  upstream.answer = answer;
  upstream.connectionUse = kind;
  upstream.closeDelayMs = delayMs;
  upstream.isReadingOn = isReadingOn;
  try {
    return await run(await upstream.open());
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
