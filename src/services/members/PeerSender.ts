import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import * as addresses from './getRecipientAddresses.js';
import type * as directories from './MemberDirectory.js';
import type * as ownStatuses from './OwnStatus.js';
import type * as presences from './Presence.js';

/** How often peers are told of an upstream that leaves; datagrams can get lost. */
const LEAVING_ANNOUNCEMENT_COUNT = 2;
const LEAVING_ANNOUNCEMENT_INTERVAL_MS = 500;

/** The largest number of suspect requests in one datagram, which keeps it within one packet. */
const MAX_DATAGRAM_SUSPECTS = 12;

/** Sends a datagram through the task's socket to a peer's address, given as host:port. */
export type SendDatagram = (bytes: Uint8Array, peersAddress: string) => void;

/** A status with the datagram that holds it. */
interface EncodedStatus {
  readonly status: entry.MemberStatus;
  readonly bytes: Uint8Array;
}

/** Sends this VM's datagrams to those peers to which each kind goes, as long as its presence allows. */
export class PeerSender {
  private readonly directory: directories.MemberDirectory;
  private readonly presence: presences.Presence;
  private readonly status: ownStatuses.OwnStatus;
  private readonly send: SendDatagram;
  private context: kernel.TaskContext | undefined;
  private encodedStatus: EncodedStatus | undefined;

  /**
   * @param directory The peers.
   * @param presence How far this VM has left the fleet.
   * @param status This VM's status.
   * @param send Sends one datagram.
   */
  constructor(
    directory: directories.MemberDirectory,
    presence: presences.Presence,
    status: ownStatuses.OwnStatus,
    send: SendDatagram,
  ) {
    this.directory = directory;
    this.presence = presence;
    this.status = status;
    this.send = send;
  }

  /** Sets the context from which the sender gets its clock and timers. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /**
   * Sends this VM's status to its peers: in a large fleet, those of its region and the collectors of the others. A VM that
   * leaves tells all.
   */
  sendStatus(): void {
    if (this.presence.isStopped) return;
    this.sendTo(
      {kind: this.presence.isLeaving ? 'all' : 'statusPeers'},
      this.getStatusBytes(),
    );
  }

  /** Sends this VM's status to a VM of which nothing was known, and in a small fleet to all others, too. */
  greet(member: entry.MemberRecord): void {
    if (!this.directory.isLargeFleet) {
      this.sendStatus();
      return;
    }
    if (this.presence.isStopped) return;
    this.sendTo({kind: 'one', member}, this.getStatusBytes());
  }

  /** Sends what this VM has heard as a collector to the VMs of its region. */
  sendBundle(bundle: entry.MemberBundle): void {
    this.sendTo({kind: 'region'}, codecs.encodeBundle(bundle));
  }

  /** Sends this VM's resources; without effect where the platform does not state them. */
  sendCapacity(
    recipients: addresses.Recipients,
    report: entry.CapacityReport | undefined,
  ): void {
    if (report === undefined || !this.presence.isRunning) return;
    this.sendTo(recipients, codecs.encodeCapacity(report));
  }

  /** Tells peers, more than once, that an upstream leaves. */
  announceLeaving(
    recipients: addresses.Recipients,
    start: entry.UpstreamStart,
  ): void {
    this.repeatLeaving(recipients, start, LEAVING_ANNOUNCEMENT_COUNT);
  }

  /** Reports requests that may crash upstreams to all peers. */
  announceSuspects(suspects: readonly peers.SuspectReport[]): void {
    if (!this.presence.isRunning) return;
    for (let from = 0; from < suspects.length; from += MAX_DATAGRAM_SUSPECTS) {
      const part = suspects.slice(from, from + MAX_DATAGRAM_SUSPECTS);
      this.sendTo({kind: 'all'}, codecs.encodeSuspects(part));
    }
  }

  private repeatLeaving(
    recipients: addresses.Recipients,
    start: entry.UpstreamStart,
    remainingCount: number,
  ): void {
    if (!this.presence.isRunning || remainingCount <= 0) return;
    this.sendTo(recipients, codecs.encodeUpstreamLeaving(start));
    this.getContext().timers.after(LEAVING_ANNOUNCEMENT_INTERVAL_MS, () =>
      this.repeatLeaving(recipients, start, remainingCount - 1),
    );
  }

  /** Encodes a status once: a VM that starts in a large fleet greets a hundred VMs with the same one. */
  private getStatusBytes(): Uint8Array {
    const status = this.status.get();
    if (this.encodedStatus?.status !== status)
      this.encodedStatus = {status, bytes: codecs.encodeMemberStatus(status)};
    return this.encodedStatus.bytes;
  }

  private sendTo(recipients: addresses.Recipients, bytes: Uint8Array): void {
    const nowMs = this.getContext().clock.monotonicMs();
    for (const address of addresses.getRecipientAddresses(
      recipients,
      this.directory,
      nowMs,
    ))
      this.send(bytes, address);
  }

  private getContext(): kernel.TaskContext {
    if (this.context === undefined)
      throw new Error('the sender of datagrams is not started');
    return this.context;
  }
}
