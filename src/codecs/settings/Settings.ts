import type * as fleet from '../../model/fleet/index.js';

/** An IP address and a TCP port to listen on; with port 0 the operating system assigns a free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** How the daemon accesses the platform. */
export type PlatformSettings =
  /** An in-process table and object store, for evaluation without a platform. */
  | {readonly kind: 'embedded'}
  /** The platform's HTTP API. */
  | {readonly kind: 'http'; readonly url: string};

/** An operator and the SHA-256 digest of the operator's token. */
export interface OperatorSettings {
  readonly operatorId: string;
  readonly tokenSha256Hex: string;
}

/** The settings that a daemon reads from its settings file. */
export interface Settings {
  readonly vm: Pick<fleet.VmRecord, 'vmId' | 'region' | 'failureDomain'>;

  readonly listeners: {
    readonly callers: ListenAddress;
    readonly operators: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };

  /** The addresses that callers and peers connect to, as host:port, where they differ from `listeners`. */
  readonly advertised: {
    readonly callersAddress?: string | undefined;
    readonly peersAddress?: string | undefined;
  };

  readonly platform: PlatformSettings;

  /** The shared secret with which peers authenticate to each other. */
  readonly peerSecret: string;

  readonly operators: readonly OperatorSettings[];

  readonly fleet: {
    /** The number of slots, and so of shares into which every limit is divided. */
    readonly slotCount: number;
  };

  readonly memory: {
    /** The memory of the VM in MB. */
    readonly limitMb: number;
  };

  readonly log: {readonly level: 'debug' | 'info' | 'warn' | 'error'};
}
