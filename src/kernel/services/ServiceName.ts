/** The name of a service, typed by the messages that the service handles. */
export interface ServiceName<M> {
  /** The name, unique within the process. */
  readonly name: string;

  /** Carries the type of the messages at compile time; always undefined at run time. */
  readonly messageType?: (message: M) => void;
}

/** Creates the typed service name for `name`. */
export function createServiceName<M>(name: string): ServiceName<M> {
  return {name};
}
