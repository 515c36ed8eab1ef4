/** How far a request had come when it ended without an upstream's answer. */
export type RequestPhase =
  /** Its head or body was being read, or its route and key were being decided. */
  | 'reading'
  /** It waited for a token of its organisation's limit. */
  | 'awaitingToken'
  /** No upstream had been chosen yet, or none for another attempt. */
  | 'placing'
  /** It waited for a connection to an upstream. */
  | 'connecting'
  /** It was sent to an upstream, whose answer had not begun. */
  | 'atUpstream'
  /** An upstream's answer was arriving. */
  | 'receivingAnswer';
