/** Returns answers without a length, each with another beginning of the body, up to one that lacks the last byte. */
export function getCutOffAnswers(body: string): readonly string[] {
  return Array.from(
    body,
    (_, index) => `HTTP/1.1 200 OK\r\n\r\n${body.slice(0, index)}`,
  );
}
