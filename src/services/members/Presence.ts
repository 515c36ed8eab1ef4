/** The states that a process passes through in this order; it may skip `leaving`. */
type PresenceState =
  | {readonly kind: 'member'}
  /** Peers are told that this VM leaves, and its row is being removed. */
  | {readonly kind: 'leaving'}
  /** The task only waits for the store to remove the row. */
  | {readonly kind: 'stopping'}
  /** The socket is closed. */
  | {readonly kind: 'stopped'};

/** How far this VM has left the fleet. */
export class Presence {
  private state: PresenceState = {kind: 'member'};

  /** Whether the task still follows its peers and the store. */
  get isRunning(): boolean {
    switch (this.state.kind) {
      case 'member':
      case 'leaving':
        return true;
      case 'stopping':
      case 'stopped':
        return false;
    }
  }

  /** Whether this VM accepts no new callers any more. */
  get isLeaving(): boolean {
    return this.state.kind !== 'member';
  }

  /** Whether the socket is closed. */
  get isStopped(): boolean {
    return this.state.kind === 'stopped';
  }

  /** Records that this VM leaves; without effect when it has begun to. */
  leave(): void {
    if (this.state.kind === 'member') this.state = {kind: 'leaving'};
  }

  /** Records that the task stops. */
  beginStop(): void {
    this.state = {kind: 'stopping'};
  }

  /** Records that the task closes its socket. */
  endStop(): void {
    this.state = {kind: 'stopped'};
  }
}
