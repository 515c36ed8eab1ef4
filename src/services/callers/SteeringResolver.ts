import * as net from 'node:net';
import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

const BITS_PER_OCTET = 8;

/** The prefix of an IPv4-mapped IPv6 address, such as ::ffff:10.1.2.3. */
const IPV4_MAPPED_PREFIX = '::ffff:';

/** Decides which VMs a caller should connect to, from this process's configuration and fleet view alone. */
export class SteeringResolver {
  private regions: readonly string[] = [];
  private blocks = new decisions.BlockTable([]);
  private shifts: readonly configurations.Shift[] = [];
  private vms = new decisions.VmIndex([]);
  private vmIndexKey = '';
  private homeCandidates: readonly decisions.HomeCandidate[] = [];

  /** Rebuilds the table of client address blocks and the region shifts from a new configuration document. */
  setDocument(document: configurations.ConfigurationDocument): void {
    const blocks = Object.values(document.clientBlocks);
    this.regions = [...new Set(blocks.map(block => block.region))];
    this.blocks = new decisions.BlockTable(
      blocks.map(block => this.toBlockEntry(block)),
    );
    this.shifts = Object.values(document.shifts);
  }

  /** Sets the current fleet view. The VM index is rebuilt only when the set of serving processes has changed. */
  setFleetView(view: fleetViews.FleetView): void {
    this.homeCandidates = view.liveHolders.filter(holder => !holder.isStopping);
    const sorted = [...view.servingVms].sort((a, b) =>
      a.processId < b.processId ? -1 : 1,
    );
    const vmIndexKey = sorted.map(vm => vm.processId).join();
    if (vmIndexKey === this.vmIndexKey) return;
    this.vmIndexKey = vmIndexKey;
    this.vms = new decisions.VmIndex(sorted);
  }

  /**
   * Gets the VMs that a caller should connect to.
   * @param ownRegion The region of this process; used when no configured address block contains the caller's address.
   * @param organisationId The caller's organisation, or an empty string when it is unknown.
   * @param nowMs The wall-clock time in milliseconds.
   */
  steer(
    ownRegion: string,
    clientAddress: string,
    organisationId: string,
    nowMs: number,
  ): decisions.SteeringAnswer {
    const position = decisions.getCallerPosition(clientAddress);
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
        : decisions.getHome(organisationId, this.homeCandidates);
    const steeringQuery: decisions.SteeringQuery = {
      vms: this.vms,
      region,
      homeProcessId: home?.processId ?? '',
      position,
    };
    return decisions.decideSteering(steeringQuery, nowMs);
  }

  private getRegion(clientAddress: string): string | undefined {
    const address = parseIpv4Address(clientAddress);
    if (address === undefined) return undefined;
    const value = this.blocks.get(address);
    return value === decisions.NO_BLOCK ? undefined : this.regions[value];
  }

  private toBlockEntry(
    block: configurations.ClientBlock,
  ): decisions.BlockEntry {
    const [address, prefixBits] = block.prefix.split('/');
    return {
      firstAddress: parseIpv4Address(address) ?? 0,
      prefixBits: Number(prefixBits),
      value: this.regions.indexOf(block.region),
    };
  }
}

/** Parses an IPv4 or IPv4-mapped IPv6 address into an unsigned 32-bit number; undefined for any other text. */
function parseIpv4Address(text: string): number | undefined {
  const address = text.startsWith(IPV4_MAPPED_PREFIX)
    ? text.slice(IPV4_MAPPED_PREFIX.length)
    : text;
  if (!net.isIPv4(address)) return undefined;
  return address
    .split('.')
    .reduce((sum, octet) => sum * 2 ** BITS_PER_OCTET + Number(octet), 0);
}
