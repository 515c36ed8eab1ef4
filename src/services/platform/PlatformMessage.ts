import type * as codecs from '../../codecs/platform/index.js';
import * as kernel from '../../kernel/index.js';
import type * as platform from '../../model/platform/index.js';

/** The messages that the platform service accepts; each is a call of the `PlatformAdapter` method of that name. */
export type PlatformMessage =
  | {
      readonly kind: 'read';
      readonly request: codecs.ReadRequest;
      readonly reply: kernel.Reply<platform.ReadResult>;
    }
  | {
      readonly kind: 'transact';
      readonly transaction: platform.TableTransaction;
      readonly reply: kernel.Reply<platform.TransactionResult>;
    }
  | {
      readonly kind: 'putObject';
      readonly name: string;
      readonly text: string;
      readonly reply: kernel.Reply<platform.PutResult>;
    }
  | {
      readonly kind: 'getObject';
      readonly name: string;
      readonly reply: kernel.Reply<platform.ObjectResult>;
    }
  | {
      readonly kind: 'listVms';
      readonly reply: kernel.Reply<platform.VmListResult>;
    };

/** The service that accesses the platform: its table, object store and list of VMs. */
export const PLATFORM = kernel.createServiceName<PlatformMessage>('platform');
