/** Statuses of answers that are none. */
const INVALID_STATUSES: readonly string[] = ['000', '00', '0000', '099', '999'];

/** Header lines whose names hold a blank or a control character. */
const INVALID_LINES: readonly string[] = [
  'x y: z',
  'x-y : z',
  ' x-y: z',
  'x\ty: z',
  'x-y\t: z',
  '\tx-y: z',
  'x\0y: z',
  '\x01x-y: z',
  'x\x0by: z',
  'x-y\x7f: z',
  'x\x80y: z',
  'x\ry: z',
  'x\ny: z',
  'Content-Length : 3',
  'Content\x01-Length: 3',
  'Transfer-Encoding : chunked',
  '\0Transfer-Encoding: chunked',
];

/** An answer that must not reach a caller. */
export interface MalformedAnswer {
  readonly title: string;
  readonly text: string;

  /** Whether the head is valid and the fault comes behind the body. */
  readonly isInTrailer: boolean;
}

/**
 * Returns answers with an invalid status, or with an invalid name in the head, in an interim head or in the trailer.
 *
 * @param body The body of each answer.
 */
export function getMalformedAnswers(body: string): readonly MalformedAnswer[] {
  const chunked = `${body.length.toString(16)}\r\n${body}\r\n0\r\n`;
  const framings: readonly (readonly [string, readonly string[], string])[] = [
    ['with a length', [`content-length: ${body.length}`], body],
    ['chunked', ['transfer-encoding: chunked'], `${chunked}\r\n`],
    ['without a length', [], body],
  ];
  return framings.flatMap(([framing, lines, content]) => {
    const end = `\r\n\r\n${content}`;
    const sound = getHead('200', lines) + end;
    return [
      ...INVALID_STATUSES.map(status => ({
        title: `status ${status}, ${framing}`,
        text: getHead(status, lines) + end,
        isInTrailer: false,
      })),
      ...INVALID_LINES.flatMap(line => [
        {
          title: `${JSON.stringify(line)} in a head, ${framing}`,
          text: getHead('200', [line, ...lines]) + end,
          isInTrailer: false,
        },
        {
          title: `${JSON.stringify(line)} in an interim head, ${framing}`,
          text: `HTTP/1.1 103 Early Hints\r\n${line}\r\n\r\n${sound}`,
          isInTrailer: false,
        },
      ]),
      ...(framing === 'chunked' ? INVALID_LINES : []).map(line => ({
        title: `${JSON.stringify(line)} in a trailer`,
        text: `${getHead('200', lines)}\r\n\r\n${chunked}${line}\r\n\r\n`,
        isInTrailer: true,
      })),
    ];
  });
}

function getHead(status: string, lines: readonly string[]): string {
  return [
    `HTTP/1.1 ${status} Text`,
    'x-response-seal: s',
    'x-first: 1',
    ...lines,
  ].join('\r\n');
}
