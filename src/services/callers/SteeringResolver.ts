import * as net from 'node:net';
import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

const BITS_PER_OCTET = 8;

/** How IPv6 writes an IPv4 address. */
const MAPPED_PREFIX = '::ffff:';

/** Answers which VMs a caller uses, from what this process knows alone. */
export class SteeringResolver {
  private regions: readonly string[] = [];
  private blocks = new decisions.BlockTable([]);
  private shifts: readonly configurations.Shift[] = [];
  private vms = new decisions.VmIndex([]);
  private vmsKey = '';
  private homes: readonly decisions.HomeCandidate[] = [];

  /** Takes in a version of the configuration. */
  update(document: configurations.ConfigurationDocument): void {
    const blocks = Object.values(document.clientBlocks);
    this.regions = [...new Set(blocks.map(block => block.region))];
    this.blocks = new decisions.BlockTable(
      blocks.map(block => this.getEntry(block)),
    );
    this.shifts = Object.values(document.shifts);
  }

  /** Takes in a view of the fleet; the index changes only when VMs come or go. */
  setView(view: fleetViews.FleetView): void {
    this.homes = view.liveHolders.filter(holder => !holder.isStopping);
    const sorted = [...view.servingVms].sort((a, b) =>
      a.processId < b.processId ? -1 : 1,
    );
    const vmsKey = sorted.map(vm => vm.processId).join();
    if (vmsKey === this.vmsKey) return;
    this.vmsKey = vmsKey;
    this.vms = new decisions.VmIndex(sorted);
  }

  /** Gets the VMs for a caller, who counts as of `ownRegion` when no block holds the address, at the wall-clock time `nowMs`. */
  steer(
    ownRegion: string,
    clientAddress: string,
    organisationId: string,
    nowMs: number,
  ): decisions.SteeringAnswer {
    const position = decisions.getPosition(clientAddress);
    const homeRegion = this.getRegion(clientAddress) ?? ownRegion;
    const region = decisions.getShiftedRegion(
      this.shifts,
      homeRegion,
      position,
      nowMs,
    );
    const home =
      organisationId === ''
        ? undefined
        : decisions.getHome(organisationId, this.homes);
    const question: decisions.SteeringQuestion = {
      vms: this.vms,
      region,
      homeProcessId: home?.processId ?? '',
      position,
    };
    return decisions.decideSteering(question, nowMs);
  }

  private getRegion(clientAddress: string): string | undefined {
    const address = toNumber(clientAddress);
    if (address === undefined) return undefined;
    const value = this.blocks.get(address);
    return value === decisions.NO_BLOCK ? undefined : this.regions[value];
  }

  private getEntry(block: configurations.ClientBlock): decisions.BlockEntry {
    const [address, prefixBits] = block.prefix.split('/');
    return {
      firstAddress: toNumber(address) ?? 0,
      prefixBits: Number(prefixBits),
      value: this.regions.indexOf(block.region),
    };
  }
}

/** Gets an IPv4 address as an unsigned number, or nothing for other text. */
function toNumber(text: string): number | undefined {
  const address = text.startsWith(MAPPED_PREFIX)
    ? text.slice(MAPPED_PREFIX.length)
    : text;
  if (!net.isIPv4(address)) return undefined;
  return address
    .split('.')
    .reduce((sum, octet) => sum * 2 ** BITS_PER_OCTET + Number(octet), 0);
}
