/** The direction in which a body is sent through this VM. */
export type BodyDirection = 'request' | 'answer';

/**
 * Gets how many pieces a body has come in beyond what its size explains. Reading a piece costs processor time however
 * small it is, so that bodies in tiny pieces would take the time of all other requests.
 *
 * @param sizeBytes The size of all pieces together, in bytes.
 */
export function getExcessPieceCount(
  direction: BodyDirection,
  pieceCount: number,
  sizeBytes: number,
): number {
  const explainedCount = Math.ceil(sizeBytes / getMinMeanBytes(direction));
  return Math.max(0, pieceCount - explainedCount);
}

/**
 * Gets the most excess pieces that the bodies which one process receives in one direction may have together. The HTTP
 * server takes about ten times as long for a piece as the HTTP client.
 */
export function getMaxExcessPieceCount(direction: BodyDirection): number {
  switch (direction) {
    case 'request':
      return 8192;
    case 'answer':
      return 32_768;
  }
}

/** Gets the mean size in bytes that the pieces of a body usually exceed. */
function getMinMeanBytes(direction: BodyDirection): number {
  switch (direction) {
    case 'request':
      return 32;
    case 'answer':
      return 16;
  }
}
