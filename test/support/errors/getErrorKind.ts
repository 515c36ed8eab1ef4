import * as errors from '../../../src/model/errors/index.js';

/** Returns the kind of the error that an action throws, or undefined when it throws none. */
export function getErrorKind(
  action: () => unknown,
): errors.ErrorKind | undefined {
  try {
    action();
    return undefined;
  } catch (thrown) {
    return errors.toError(thrown).kind;
  }
}
