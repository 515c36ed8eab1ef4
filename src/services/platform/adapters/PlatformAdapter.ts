import type * as codecs from '../../../codecs/platform/index.js';
import type * as platform from '../../../model/platform/index.js';

/** The interface to the platform that bramleyrun runs on; each deployment provides an implementation. */
export interface PlatformAdapter {
  /** Reads the current version of the requested rows. */
  read(request: codecs.ReadRequest): Promise<platform.ReadResult>;

  /** Applies all writes of a transaction if all its checks hold, and none of them otherwise. */
  transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult>;

  /** Stores an object under a name, replacing any previous object of that name. */
  putObject(name: string, text: string): Promise<platform.PutResult>;

  /** Gets an object by its name. */
  getObject(name: string): Promise<platform.ObjectResult>;

  /** Gets the list of VMs, which may lag behind the actual state. */
  listVms(): Promise<platform.VmListResult>;

  /** Closes all connections. */
  close(): Promise<void>;
}
