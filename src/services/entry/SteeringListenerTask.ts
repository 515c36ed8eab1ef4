import * as h3 from 'h3';
import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as httpService from '../http/index.js';
import * as entryService from './EntryMessage.js';

/** How the answers to callers and to the platform's checks are written. */
export interface SteeringCodec {
  /** The path of the question which VMs a caller may use. */
  readonly steeringPath: string;

  /** The path of the question whether the process takes callers. */
  readonly readinessPath: string;

  /** Gets where a caller is, as far as its question says. */
  decodePlace(query: URLSearchParams): Partial<decisions.CallerPlace>;

  /** Gets the answer that names VMs, as text. */
  encodeVms(vms: readonly entry.MemberRecord[], termMs: number): string;
}

/** What the steering listener is told when it is made. */
export interface SteeringOptions {
  /** Where callers are taken to be that do not say. */
  readonly place: decisions.CallerPlace;
  readonly steering: entry.SocketAddress;
  readonly readiness: entry.SocketAddress;

  /** How long callers may use an answer, in milliseconds. */
  readonly termMs: number;
  readonly codec: SteeringCodec;
}

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** The service of the steering and readiness listeners; it takes no messages. */
export const STEERING_LISTENER =
  kernel.getServiceName<never>('steeringListener');

/** Owns the listeners on which callers ask for VMs and the platform asks for readiness. */
export class SteeringListenerTask extends base.ServiceTask<never> {
  private readonly options: SteeringOptions;
  private readonly steering: httpService.HttpListener;
  private readonly readiness: httpService.HttpListener;

  /** @param options Where the questions come in and how they are answered. */
  constructor(options: SteeringOptions) {
    super();
    this.options = options;
    const {codec} = options;
    const steeringApp = new h3.H3();
    steeringApp.get(codec.steeringPath, event => this.answerSteering(event));
    this.steering = new httpService.HttpListener(
      options.steering,
      h3.toNodeHandler(steeringApp),
    );
    const readinessApp = new h3.H3();
    readinessApp.get(codec.readinessPath, event => this.answerReadiness(event));
    this.readiness = new httpService.HttpListener(
      options.readiness,
      h3.toNodeHandler(readinessApp),
    );
  }

  protected override async onStart(): Promise<void> {
    await Promise.all([this.steering.open(), this.readiness.open()]);
  }

  protected override async onStop(): Promise<void> {
    this.steering.closeNow();
    this.readiness.closeNow();
  }

  protected override receive(message: never): void {
    errors.throwUnreachable(message);
  }

  private async answerSteering(event: h3.H3Event): Promise<string> {
    const {codec, termMs} = this.options;
    const place = {
      ...this.options.place,
      ...codec.decodePlace(event.url.searchParams),
    };
    const vms = await this.getService(entryService.ENTRY).ask<
      readonly entry.MemberRecord[]
    >(reply => ({kind: 'steer', place, reply}));
    this.count('steering_answers');
    event.res.status = vms.length > 0 ? HTTP_OK : HTTP_UNAVAILABLE;
    event.res.headers.set('content-type', 'application/json');
    return codec.encodeVms(vms, termMs);
  }

  private async answerReadiness(event: h3.H3Event): Promise<string> {
    const isReady = await this.getService(entryService.ENTRY).ask<boolean>(
      reply => ({kind: 'isReady', reply}),
    );
    event.res.status = isReady ? HTTP_OK : HTTP_UNAVAILABLE;
    return '';
  }
}
