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

/** Reads the answers on a connection; each states the length of its body. */
export class AnswerReader {
  private readonly complete: ReceivedAnswer[] = [];
  private rest = '';

  /** Adds received bytes, in the encoding latin1. */
  add(text: string): void {
    this.rest += text;
    for (;;) {
      const next = parseAnswer(this.rest);
      if (next === undefined || !next.answer.isComplete) return;
      this.complete.push(next.answer);
      this.rest = this.rest.slice(next.length);
    }
  }

  /** Returns the answers received so far, the last of them possibly in part. */
  getAnswers(): readonly ReceivedAnswer[] {
    const next = parseAnswer(this.rest);
    return next === undefined ? this.complete : [...this.complete, next.answer];
  }
}

/** Parses the answer at the beginning of a text; returns undefined without a whole head. */
function parseAnswer(
  text: string,
): {readonly answer: ReceivedAnswer; readonly length: number} | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const [statusLine, ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = new Map(lines.map(parseHeader));
  const length =
    headEnd + HEAD_END.length + Number(headers.get('content-length') ?? 0);
  const answer = {
    httpStatus: Number(statusLine.split(' ')[1]),
    requestId: headers.get('x-request-id') ?? '',
    isFromUpstream: headers.has('x-response-seal'),
    isLast: headers.get('connection') === 'close',
    isComplete: length <= text.length,
  };
  return {answer, length};
}

function parseHeader(line: string): readonly [string, string] {
  const colon = line.indexOf(':');
  return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
}
