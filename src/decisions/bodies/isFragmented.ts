/** The direction in which a body is sent through this VM. */
export type BodyDirection = 'request' | 'answer';

interface PieceLimit {
  /** The number of pieces that a body may have, however small they are. */
  readonly freePieceCount: number;

  /** The mean size in bytes that a larger body's pieces must have. */
  readonly minMeanBytes: number;
}

/**
 * Returns whether a body comes in pieces that are too many for its size. Reading a piece costs processor time however
 * small it is, so that a body in tiny pieces would take the time of all other requests.
 *
 * @param sizeBytes The size of all pieces together, in bytes.
 */
export function isFragmented(
  direction: BodyDirection,
  pieceCount: number,
  sizeBytes: number,
): boolean {
  const {freePieceCount, minMeanBytes} = getPieceLimit(direction);
  return pieceCount > freePieceCount + sizeBytes / minMeanBytes;
}

function getPieceLimit(direction: BodyDirection): PieceLimit {
  switch (direction) {
    case 'request':
      // The HTTP server takes about ten times as long for a piece as the HTTP client.
      return {freePieceCount: 8192, minMeanBytes: 32};
    case 'answer':
      return {freePieceCount: 32_768, minMeanBytes: 16};
  }
}
