import type * as fleet from '../../model/fleet/index.js';

/** An IP address and a TCP port; port 0 takes a free one. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Where the platform is met. */
export type PlatformSettings =
  /** A table and an object store within the process, for trying things out. */
  | {readonly kind: 'embedded'}
  /** The platform's HTTP interface. */
  | {readonly kind: 'http'; readonly url: string};

/** An operator and the digest of the token that the operator shows. */
export interface OperatorSettings {
  readonly operatorId: string;
  readonly tokenSha256Hex: string;
}

/** What a daemon learns from its settings file. */
export interface Settings {
  readonly vm: Pick<fleet.VmRecord, 'vmId' | 'region' | 'failureDomain'>;

  readonly listeners: {
    readonly callers: ListenAddress;
    readonly operators: ListenAddress;
    readonly peers: ListenAddress;
    readonly metrics: ListenAddress;
  };

  /** Addresses that others use, where they differ from the listeners' own. */
  readonly advertised: {
    readonly callersAddress?: string | undefined;
    readonly peersAddress?: string | undefined;
  };

  readonly platform: PlatformSettings;

  /** The shared secret that peers show each other. */
  readonly peerSecret: string;

  readonly operators: readonly OperatorSettings[];

  readonly fleet: {
    /** Into how many shares every limit is divided. */
    readonly slotCount: number;
  };

  readonly log: {readonly level: 'debug' | 'info' | 'warn' | 'error'};
}
