import type * as codecs from '../../../codecs/platform/index.js';
import type * as platform from '../../../model/platform/index.js';

/** What bramleyrun needs of a platform; each deployment brings one of these. */
export interface PlatformAdapter {
  /** Reads the current rows. */
  read(request: codecs.ReadRequest): Promise<platform.ReadResult>;

  /** Changes rows all together, or not at all. */
  transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult>;

  /** Stores an object under a name. */
  putObject(name: string, text: string): Promise<platform.PutResult>;

  /** Gets an object by its name. */
  getObject(name: string): Promise<platform.ObjectResult>;

  /** Gets the lagging list of VMs. */
  listVms(): Promise<platform.VmListResult>;

  /** Lets go of connections. */
  close(): Promise<void>;
}
