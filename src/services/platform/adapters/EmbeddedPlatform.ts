import type * as codecs from '../../../codecs/platform/index.js';
import * as errors from '../../../model/errors/index.js';
import type * as platform from '../../../model/platform/index.js';
import type * as adapters from './PlatformAdapter.js';

/** A platform whose table, object store and list of VMs are in the memory of this process. */
export class EmbeddedPlatform implements adapters.PlatformAdapter {
  private readonly rows = new Map<string, platform.TableRow>();
  private readonly objects = new Map<string, string>();
  private version = 0;
  private vms: readonly platform.ListedVm[] = [];

  /** Reads the current version of the requested rows. */
  async read(request: codecs.ReadRequest): Promise<platform.ReadResult> {
    return {kind: 'rows', rows: this.getRows(request)};
  }

  /** Applies all writes of a transaction if all its checks hold, and none of them otherwise. */
  async transact(
    transaction: platform.TableTransaction,
  ): Promise<platform.TransactionResult> {
    const failed = transaction.checks.find(
      check => (this.rows.get(check.key)?.version ?? 0) !== check.version,
    );
    if (failed !== undefined) return {kind: 'conflict', key: failed.key};
    this.version += 1;
    for (const write of transaction.writes) this.applyWrite(write);
    return {kind: 'committed', version: this.version};
  }

  /** Stores an object under a name. */
  async putObject(name: string, text: string): Promise<platform.PutResult> {
    this.objects.set(name, text);
    return {kind: 'stored'};
  }

  /** Gets an object by its name. */
  async getObject(name: string): Promise<platform.ObjectResult> {
    const text = this.objects.get(name);
    return text === undefined ? {kind: 'absent'} : {kind: 'object', text};
  }

  /** Gets the list of VMs. */
  async listVms(): Promise<platform.VmListResult> {
    return {kind: 'vms', vms: this.vms};
  }

  /** Replaces the list of VMs. */
  setVms(vms: readonly platform.ListedVm[]): void {
    this.vms = vms;
  }

  /** Does nothing: there are no connections to close. */
  async close(): Promise<void> {}

  private getRows(request: codecs.ReadRequest): readonly platform.TableRow[] {
    switch (request.kind) {
      case 'keys':
        return request.keys.flatMap(key => this.rows.get(key) ?? []);
      case 'prefix':
        return this.getRange(request.prefix, request.afterKey, request.limit);
      default:
        return errors.throwUnreachable(request);
    }
  }

  private getRange(
    prefix: string,
    afterKey: string,
    limit: number,
  ): readonly platform.TableRow[] {
    const keys = [...this.rows.keys()].filter(
      key => key.startsWith(prefix) && key > afterKey,
    );
    keys.sort();
    return keys.slice(0, limit).flatMap(key => this.rows.get(key) ?? []);
  }

  private applyWrite(write: platform.TableWrite): void {
    switch (write.kind) {
      case 'put':
        this.rows.set(write.key, {
          key: write.key,
          version: this.version,
          value: write.value,
        });
        return;
      case 'delete':
        this.rows.delete(write.key);
        return;
      default:
        errors.throwUnreachable(write);
    }
  }
}
