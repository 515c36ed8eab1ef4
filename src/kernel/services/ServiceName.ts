/** The name under which a service is found, typed by the messages it takes. */
export interface ServiceName<M> {
  /** The unique name. */
  readonly name: string;

  /** Carries the type of the messages; it has no value at run time. */
  readonly messageType?: (message: M) => void;
}

/** Gets the typed service name for `name`. */
export function getServiceName<M>(name: string): ServiceName<M> {
  return {name};
}
