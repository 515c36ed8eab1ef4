import type * as messages from '../messages/index.js';
import type * as names from './ServiceName.js';

/** Looks up the services of one process by name. */
export interface ServiceDirectory {
  /** Gets the address of a service, or undefined when no service has that name. */
  get<M>(name: names.ServiceName<M>): messages.Address<M> | undefined;

  /** Gets the address of a service. @throws Error when no service has that name. */
  getOrThrow<M>(name: names.ServiceName<M>): messages.Address<M>;
}
