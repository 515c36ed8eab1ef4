import type * as http from 'node:http';
import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as httpService from '../http/index.js';
import * as entryService from './EntryMessage.js';

/** Decodes callers' queries for VMs and encodes the answers, and sets the paths of the queries. */
export interface SteeringCodec {
  /** The path at which callers ask which VMs they may use. */
  readonly steeringPath: string;

  /** The path at which the platform asks whether the process accepts callers. */
  readonly readinessPath: string;

  /** Decodes the caller's location, as far as its query states it. */
  decodeLocation(query: URLSearchParams): Partial<decisions.CallerLocation>;

  /** Encodes the answer that lists VMs, which callers may use for `termMs` milliseconds. */
  encodeVms(vms: readonly entry.MemberRecord[], termMs: number): string;
}

/** Options of the steering listener. */
export interface SteeringOptions {
  /** The location that is assumed for callers whose query states none. */
  readonly location: decisions.CallerLocation;
  readonly steering: entry.SocketAddress;
  readonly readiness: entry.SocketAddress;

  /** How long callers may use an answer before they ask again, in milliseconds. */
  readonly termMs: number;
  readonly codec: SteeringCodec;

  /** Bounds what the listeners of the process hold. */
  readonly memory?: httpService.AnswerMemory;
}

/**
 * The step between the draws of successive answers: the golden ratio, whose multiples are spread evenly over the unit
 * interval, so that each VM is named again after few answers.
 */
const DRAW_STEP = (Math.sqrt(5) - 1) / 2;

/** Completes the targets of requests, which state no host. */
const BASE_URL = 'http://vm';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** The service that owns the steering and readiness listeners; it receives no messages. */
export const STEERING_LISTENER =
  kernel.createServiceName<never>('steeringListener');

/** Owns the listeners on which callers ask for VMs and the platform checks readiness. */
export class SteeringListenerTask extends base.ServiceTask<never> {
  private readonly options: SteeringOptions;
  private readonly steering: httpService.HttpListener;
  private readonly readiness: httpService.HttpListener;
  private drawFraction = Math.random();

  /** @param options The listen addresses, the default location and the codec. */
  constructor(options: SteeringOptions) {
    super();
    this.options = options;
    const {codec} = options;
    this.steering = this.createListener(
      options.steering,
      codec.steeringPath,
      (query, response) => this.answerSteering(query, response),
    );
    this.readiness = this.createListener(
      options.readiness,
      codec.readinessPath,
      (_query, response) => this.answerReadiness(response),
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

  /** Creates a listener that answers GET requests at one path. Callers ask often enough that a framework would cost. */
  private createListener(
    address: entry.SocketAddress,
    path: string,
    answer: (
      query: URLSearchParams,
      response: http.ServerResponse,
    ) => Promise<void>,
  ): httpService.HttpListener {
    return new httpService.HttpListener(
      address,
      httpService.toRequestListener(
        async (request, response) => {
          const target = httpService.getRequestTarget(request);
          const {pathname, searchParams} = new URL(target, BASE_URL);
          if (request.method === 'GET' && pathname === path)
            await answer(searchParams, response);
          else httpService.writeAnswer(response, HTTP_NOT_FOUND);
        },
        error => this.log('error', 'handlerFailed', {message: error.message}),
      ),
      this.options.memory,
    );
  }

  private async answerSteering(
    query: URLSearchParams,
    response: http.ServerResponse,
  ): Promise<void> {
    const {codec, termMs} = this.options;
    const location = {
      ...this.options.location,
      ...codec.decodeLocation(query),
    };
    this.drawFraction = (this.drawFraction + DRAW_STEP) % 1;
    const {drawFraction} = this;
    const vms = await this.getService(entryService.ENTRY).ask<
      readonly entry.MemberRecord[]
    >(reply => ({kind: 'steer', location, drawFraction, reply}));
    this.count('steering_answers');
    httpService.writeAnswer(
      response,
      vms.length > 0 ? HTTP_OK : HTTP_UNAVAILABLE,
      codec.encodeVms(vms, termMs),
    );
  }

  private async answerReadiness(response: http.ServerResponse): Promise<void> {
    const isReady = await this.getService(entryService.ENTRY).ask<boolean>(
      reply => ({kind: 'isReady', reply}),
    );
    httpService.writeAnswer(response, isReady ? HTTP_OK : HTTP_UNAVAILABLE);
  }
}
