const HEAD_END = '\r\n\r\n';

/** An answer on a connection. */
export interface ReceivedAnswer {
  readonly httpStatus: number;

  /** The identifier of the request that the answer names; empty when it names none. */
  readonly requestId: string;

  /** Whether the answer has the header that only upstreams set. */
  readonly isFromUpstream: boolean;

  /** Whether the connection closes after the answer. */
  readonly isLast: boolean;

  /** Whether all of the body has been received. */
  readonly isComplete: boolean;
}

/** Parses the answers that a connection has received; each states the length of its body. */
export function parseAnswers(received: string): readonly ReceivedAnswer[] {
  const answers: ReceivedAnswer[] = [];
  let offset = 0;
  for (;;) {
    const headEnd = received.indexOf(HEAD_END, offset);
    if (headEnd < 0) return answers;
    const [statusLine, ...lines] = received
      .slice(offset, headEnd)
      .split('\r\n');
    const headers = new Map(lines.map(parseHeader));
    const bodyEnd =
      headEnd + HEAD_END.length + Number(headers.get('content-length') ?? 0);
    answers.push({
      httpStatus: Number(statusLine.split(' ')[1]),
      requestId: headers.get('x-request-id') ?? '',
      isFromUpstream: headers.has('x-response-seal'),
      isLast: headers.get('connection') === 'close',
      isComplete: bodyEnd <= received.length,
    });
    offset = bodyEnd;
  }
}

function parseHeader(line: string): readonly [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}
